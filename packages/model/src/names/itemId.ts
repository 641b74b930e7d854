import * as v from 'valibot';

/** Identifies an item within its batch; the client chooses it. */
export const ItemId = v.pipe(
  v.string(),
  v.minLength(1),
  v.maxLength(128),
  v.regex(/^[\x21-\x7e]+$/, 'must be printable, without spaces'),
  v.brand('ItemId'),
);
export type ItemId = v.InferOutput<typeof ItemId>;
