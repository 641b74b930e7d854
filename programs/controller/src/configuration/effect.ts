import * as v from 'valibot';

/** What a plan would do beyond its words. Some effects need an explicit acknowledgement. */
export const Effect = v.strictObject({ effect: v.string(), needsAcknowledgement: v.boolean() });
export type Effect = v.InferOutput<typeof Effect>;
