import * as v from 'valibot';
import { Count, ItemId } from '@pewterlanding/model';
import { ItemState } from './itemState.js';
import { ItemTask } from './itemTask.js';
import { Lease } from '../leases/lease.js';

/** One item as a shard keeps it. */
export const Item = v.strictObject({
  id: ItemId,
  /** Of an item that is not opaque. */
  input: v.string(),
  /** Of an opaque item, until it is final: then nobody needs its bytes any more. */
  task: v.optional(ItemTask),
  /** Tokens that its downstream stated: prompt and most out. */
  tokens: v.optional(Count),
  state: ItemState,
  queuedAtMs: v.number(),
  /** Budget-limited items wait until then. */
  notBeforeMs: v.number(),
  attempts: Count,
  /** Runs that a replica ended with 500. */
  failures: v.optional(Count),
  lease: v.optional(Lease),
  /** Written once, when the item closes. */
  result: v.optional(v.string()),
});
export type Item = v.InferOutput<typeof Item>;
