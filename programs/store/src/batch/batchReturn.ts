import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { ItemRef } from './itemRef.js';

/** What a command on a shard of lots brings. */
export const BatchReturn = v.strictObject({
  done: v.boolean(),
  /** Why not, in a word. */
  reason: v.optional(v.picklist(['unknown', 'different', 'term', 'lease', 'ended', 'state', 'full'])),
  claimed: v.optional(v.array(ItemRef)),
  term: v.optional(Count),
});
export type BatchReturn = v.InferOutput<typeof BatchReturn>;
