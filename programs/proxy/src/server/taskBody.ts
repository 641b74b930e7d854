import * as v from 'valibot';

/** What a caller asks of a service. */
export const TaskBody = v.strictObject({ input: v.unknown() });
export type TaskBody = v.InferOutput<typeof TaskBody>;
