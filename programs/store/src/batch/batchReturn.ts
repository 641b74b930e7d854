import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { ItemRef } from './itemRef.js';

/** The result of a command on a batch shard. */
export const BatchReturn = v.strictObject({
  done: v.boolean(),
  /** Why it was not done. */
  reason: v.optional(v.picklist(['unknown', 'different', 'term', 'lease', 'ended', 'state', 'full'])),
  /** Of `claim`: the items that now have the lease asked for. */
  claimed: v.optional(v.array(ItemRef)),
  /** Of `fence` and `claim`: the newest dispatcher's term. */
  term: v.optional(Count),
});
export type BatchReturn = v.InferOutput<typeof BatchReturn>;
