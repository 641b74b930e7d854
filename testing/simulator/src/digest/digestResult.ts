import * as v from 'valibot';

/** What a worker found for the case at an index; `digest` is `threw` where the run did not come to its end. */
export const DigestResult = v.strictObject({ index: v.number(), events: v.number(), digest: v.string() });
export type DigestResult = v.InferOutput<typeof DigestResult>;
