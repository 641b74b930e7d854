import * as v from 'valibot';
import { Count, RouteName } from '@pewterlanding/model';

/** What a lot of opaque items keeps of the route it was handed in on. */
export const BatchRoute = v.strictObject({
  name: RouteName,
  host: v.string(),
  /** The setup by which it was taken: an older one cannot tell that the route is gone. */
  version: Count,
  /** By the wall clock of the front that took it; orders work, and bounds nothing. */
  sentMs: v.number(),
  dueMs: v.optional(Count),
  /** So long after it was sent its items may be given up. */
  retainMs: v.optional(Count),
  /** So long after it was sent it is kept at least. */
  keepMs: Count,
  /** So many answers of 500 and an item is given up. */
  attempts: Count,
});
export type BatchRoute = v.InferOutput<typeof BatchRoute>;
