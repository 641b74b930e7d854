import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { GroupMember } from '../group/groupMember.js';

/** A snapshot of everything up to `index`, on which the rest of the log stands. */
export const Snapshot = v.strictObject({
  index: Count,
  term: Count,
  group: v.array(GroupMember),
  stateMachine: v.unknown(),
  /** Ids of commands that had their effect, with what they returned, oldest first. */
  deduplication: v.array(v.tuple([v.string(), v.unknown()])),
});
export type Snapshot = v.InferOutput<typeof Snapshot>;
