import { fork } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import * as v from 'valibot';
import { HarnessError } from '../errors/index.js';
import { digestCases } from './digestCases.js';
import { DigestResult } from './digestResult.js';
import { digestDifferences } from './digestDifferences.js';

interface DigestOptions {
  /** A recorded list to compare with. */
  readonly compare: string | undefined;
  readonly print: (line: string) => void;
}

const processes = 4;
const worker = fileURLToPath(new URL('./digestWorker.js', import.meta.url));

/** Prints a line `case events digest` for each case. False where one threw or differs from the recorded list. */
export async function digest({ compare, print }: DigestOptions): Promise<boolean> {
  const recorded = compare === undefined ? undefined : await readFile(compare, 'utf8');
  const lines: string[] = [];
  const indices = digestCases.keys();
  await Promise.all(Array.from({ length: processes }, () => work(indices, lines)));
  for (const line of lines) print(line);
  const differences = recorded === undefined ? [] : digestDifferences(recorded, lines);
  for (const difference of differences) print(difference);
  if (recorded !== undefined) print(`${lines.length} cases, ${differences.length} differ`);
  return differences.length === 0 && lines.every((line) => !line.endsWith(' threw'));
}

/** Has one process run case after case until none is left. */
function work(indices: Iterator<number>, lines: string[]): Promise<void> {
  return new Promise((resolve, reject) => {
    const child = fork(worker);
    let finished = false;
    const next = (): void => {
      const { done, value } = indices.next();
      finished = done === true;
      if (finished) child.disconnect();
      else child.send(value);
    };
    child.on('message', (message) => {
      const { index, events, digest: found } = v.parse(DigestResult, message);
      lines[index] = `${digestCases[index]?.name ?? index} ${events} ${found}`;
      next();
    });
    child.once('error', reject);
    child.once('exit', (code) => (finished ? resolve() : reject(new HarnessError(`a worker ended with ${code}`))));
    next();
  });
}
