import * as v from 'valibot';

/** A whole number from nought up. */
export const Count = v.pipe(v.number(), v.integer(), v.minValue(0));
export type Count = v.InferOutput<typeof Count>;
