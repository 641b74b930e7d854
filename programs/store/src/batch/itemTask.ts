import * as v from 'valibot';

/** The request that an opaque item sends to a replica. */
export const ItemTask = v.strictObject({
  path: v.string(),
  headers: v.record(v.string(), v.string()),
  body: v.instance(Uint8Array),
});
export type ItemTask = v.InferOutput<typeof ItemTask>;
