import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { GroupMember } from '../group/index.js';

/** One entry of the log. `open` starts a leader's term, `group` takes effect as soon as it is in the log. */
export const Entry = v.strictObject({
  term: Count,
  payload: v.variant('kind', [
    v.strictObject({ kind: v.literal('open') }),
    v.strictObject({ kind: v.literal('group'), group: v.array(GroupMember) }),
    v.strictObject({ kind: v.literal('command'), id: v.string(), command: v.unknown() }),
  ]),
});
export type Entry = v.InferOutput<typeof Entry>;
