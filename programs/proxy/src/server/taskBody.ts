import * as v from 'valibot';

/** The body of a live task. */
export const TaskBody = v.strictObject({ input: v.unknown() });
export type TaskBody = v.InferOutput<typeof TaskBody>;
