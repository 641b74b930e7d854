import * as v from 'valibot';

/** Identifies a batch; the client chooses it. */
export const BatchId = v.pipe(
  v.string(),
  v.minLength(1),
  v.maxLength(128),
  v.regex(/^[\x21-\x7e]+$/, 'must be printable, without spaces'),
  v.brand('BatchId'),
);
export type BatchId = v.InferOutput<typeof BatchId>;
