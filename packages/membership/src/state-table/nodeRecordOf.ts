import * as v from 'valibot';
import { NodeRecord } from './nodeRecord.js';
import type { Update } from './update.js';

/** The card that a piece of news holds, if it holds one. */
export function nodeRecordOf(update: Update): NodeRecord | undefined {
  const read = v.safeParse(NodeRecord, update.value);
  return read.success ? read.output : undefined;
}
