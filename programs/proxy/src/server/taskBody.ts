import * as v from 'valibot';

/** The body of a live task. */
export const TaskBody = v.strictObject({ input: v.unknown() });
/** See the schema. */
export type TaskBody = v.InferOutput<typeof TaskBody>;
