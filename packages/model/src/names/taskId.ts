import * as v from 'valibot';

/** Identifies a live request; the client chooses it. */
export const TaskId = v.pipe(
  v.string(),
  v.minLength(1),
  v.maxLength(128),
  v.regex(/^[\x21-\x7e]+$/, 'must be printable, without spaces'),
  v.brand('TaskId'),
);
export type TaskId = v.InferOutput<typeof TaskId>;
