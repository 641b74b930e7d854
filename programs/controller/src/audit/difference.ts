import * as v from 'valibot';

/** One place where two configurations differ. */
export const Difference = v.strictObject({ place: v.string(), before: v.optional(v.unknown()), after: v.optional(v.unknown()) });
export type Difference = v.InferOutput<typeof Difference>;
