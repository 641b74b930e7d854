import * as v from 'valibot';
import { Count, ItemId } from '@pewterlanding/model';
import { ItemState } from './itemState.js';
import { ItemTask } from './itemTask.js';
import { Lease } from '../leases/index.js';

/** One item as a shard stores it; times by the wall clock, ms. */
export const Item = v.strictObject({
  id: ItemId,
  /** Of an item that is not opaque. */
  input: v.string(),
  /** The request of an opaque item, deleted once the item is final. */
  task: v.optional(ItemTask),
  /** Tokens that its client stated: prompt and maximum output. */
  tokens: v.optional(Count),
  state: ItemState,
  queuedAtMs: v.number(),
  /** Not dispatched before: set when the quota refused it. */
  notBeforeMs: v.number(),
  attempts: Count,
  /** Runs that a replica answered with 500. */
  failures: v.optional(Count),
  lease: v.optional(Lease),
  /** Written once, when the item closes. */
  result: v.optional(v.string()),
});
export type Item = v.InferOutput<typeof Item>;
