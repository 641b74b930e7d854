import * as v from 'valibot';
import { NodeRecord } from './nodeRecord.js';
import type { Update } from './update.js';

/** The node record that an update carries, if it carries one. */
export function nodeRecordOf(update: Update): NodeRecord | undefined {
  const read = v.safeParse(NodeRecord, update.value);
  return read.success ? read.output : undefined;
}
