import * as v from 'valibot';
import type { Checked } from './checked.js';

/** Validates a value by its schema. A failure holds all findings at once, each with the path of its field. */
export function check<T>(schema: v.GenericSchema<unknown, T>, input: unknown): Checked<T> {
  const read = v.safeParse(schema, input);
  if (read.success) return { ok: true, value: read.output };
  return { ok: false, findings: read.issues.map((issue) => ({ place: v.getDotPath(issue) ?? '', message: issue.message })) };
}
