import * as v from 'valibot';
import { errorLine } from '@pewterlanding/runtime';
import { historyDigest } from '../history/index.js';
import { digestCases } from './digestCases.js';
import type { DigestResult } from './digestResult.js';

async function resultOf(index: number): Promise<DigestResult> {
  const digestCase = digestCases[index];
  if (digestCase === undefined) throw new RangeError(`no case ${index}`);
  try {
    const history = await digestCase.run();
    return { index, events: history.length, digest: historyDigest(history) };
  } catch (error) {
    console.error(`${digestCase.name}: ${errorLine(error)}`);
    return { index, events: 0, digest: 'threw' };
  }
}

process.on('message', (index) => void resultOf(v.parse(v.number(), index)).then((result) => process.send?.(result)));
