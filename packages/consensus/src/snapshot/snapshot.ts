import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { GroupMember } from '../group/index.js';

/** The state after applying all entries up to `index`; the log continues after it. */
export const Snapshot = v.strictObject({
  index: Count,
  term: Count,
  group: v.array(GroupMember),
  stateMachine: v.unknown(),
  /** Ids of applied commands with their results, oldest first. */
  deduplication: v.array(v.tuple([v.string(), v.unknown()])),
});
export type Snapshot = v.InferOutput<typeof Snapshot>;
