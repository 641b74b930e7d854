import * as v from 'valibot';

/** Identifies a planned configuration change until it is confirmed. */
export const PlanId = v.pipe(
  v.string(),
  v.minLength(1),
  v.maxLength(128),
  v.regex(/^[\x21-\x7e]+$/, 'must be printable, without spaces'),
  v.brand('PlanId'),
);
export type PlanId = v.InferOutput<typeof PlanId>;
