import * as v from 'valibot';

/** A consequence of a plan beyond its document. Some need an explicit acknowledgement. */
export const Effect = v.strictObject({ effect: v.string(), needsAcknowledgement: v.boolean() });
export type Effect = v.InferOutput<typeof Effect>;
