import * as v from 'valibot';
import { Count, RouteName } from '@pewterlanding/model';

/** What a batch of opaque items stores of the route on which it was submitted. */
export const BatchRoute = v.strictObject({
  name: RouteName,
  host: v.string(),
  /** The configuration version by which it was accepted: an older one can't show that the route was removed. */
  version: Count,
  /** By the wall clock of the front that accepted it; used to order work only, never for a time limit. */
  sentMs: v.number(),
  /** Its results are due so many ms after `sentMs`. */
  dueMs: v.optional(Count),
  /** Retention, ms: items that are not final by then fail. */
  retainMs: v.optional(Count),
  /** A finished batch is kept for at least so many ms. */
  keepMs: Count,
  /** An item fails after so many responses of 500. */
  attempts: Count,
});
export type BatchRoute = v.InferOutput<typeof BatchRoute>;
