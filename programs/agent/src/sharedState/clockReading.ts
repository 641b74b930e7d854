import * as v from 'valibot';

/** A moment of one proxy's own clock, in one life of it; it means nothing to anybody else. */
export const ClockReading = v.strictObject({ instance: v.string(), atMs: v.number() });
export type ClockReading = v.InferOutput<typeof ClockReading>;
