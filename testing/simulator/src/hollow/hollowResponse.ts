import * as v from 'valibot';

const Numbers = v.record(v.string(), v.number());

/** What a process of hollow nodes says back. Times are of the machine's one monotonic clock. */
export const HollowResponse = v.strictObject({
  atMs: v.optional(v.number()),
  /** Cards that each node running here holds to be here, and its board's checksum and length. */
  views: v.optional(v.array(v.strictObject({ name: v.string(), live: v.number(), checksum: v.number(), keys: v.number() }))),
  arrivals: v.optional(Numbers),
  /** Counts since the start, by `role what`. */
  counts: v.optional(Numbers),
  cpuMs: v.optional(v.number()),
  rssMb: v.optional(v.number()),
  heapMb: v.optional(v.number()),
  lagMs: v.optional(v.number()),
  failed: v.optional(v.string()),
});
export type HollowResponse = v.InferOutput<typeof HollowResponse>;
