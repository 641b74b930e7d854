import * as v from 'valibot';

/** A reading of one proxy's monotonic clock, ms, valid in one life of that process; nobody else can compare it with their own. */
export const ClockReading = v.strictObject({ instance: v.string(), atMs: v.number() });
export type ClockReading = v.InferOutput<typeof ClockReading>;
