import * as v from 'valibot';
import type { Checked } from './checked.js';

/** Reads a value by its schema and reports everything wrong with it at once, each with its place. */
export function check<T>(schema: v.GenericSchema<unknown, T>, input: unknown): Checked<T> {
  const read = v.safeParse(schema, input);
  if (read.success) return { ok: true, value: read.output };
  return { ok: false, findings: read.issues.map((issue) => ({ place: v.getDotPath(issue) ?? '', message: issue.message })) };
}
