import * as v from 'valibot';

/** A non-negative integer. */
export const Count = v.pipe(v.number(), v.integer(), v.minValue(0));
export type Count = v.InferOutput<typeof Count>;
