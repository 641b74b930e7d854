import { createHash } from 'node:crypto';

/** What an honest replica makes of an input: anybody can work it out again and compare. */
export function genuineOutput(key: string): string {
  return createHash('sha256').update(`genuine ${key}`).digest('hex').slice(0, 24);
}
