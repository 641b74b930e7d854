import { describe, it } from 'node:test';
import { expect } from 'earl';
import { eventsOfType, partialPartitionScenarios, simScenario } from '../src/index.js';

const itemStartRule = 'an accepted batch item waits too long for its start';
const registerRule = 'a confirmed setup is forgotten, or a refused one takes effect';
const seeds = [1, 2];

/** Runs the scenarios of partial partitions whose names begin so, each under all seeds; each file runs some, so files run in parallel. */
export function cutOffCases(prefix: string): void {
  describe(`a machine that only its peers cannot reach: ${prefix}`, () => {
    for (const name of Object.keys(partialPartitionScenarios).filter((one) => one.startsWith(prefix))) {
      for (const seed of seeds) {
        it(`holds up no batch item and judges no order from the past: ${name} under seed ${seed}`, async () => {
          const { history, verdicts, violations, unfinished } = await simScenario(name, seed);
          expect(violations).toEqual([]);
          expect(unfinished).toEqual(0);
          const judged = (rule: string): number => verdicts.find((verdict) => verdict.rule === rule)?.judged ?? 0;
          expect([judged(itemStartRule) > 0, judged(registerRule) > 0]).toEqual([true, true]);
          // Operators at the other machines are served throughout.
          expect(eventsOfType(history, 'confirmed').length > 1).toEqual(true);
        });
      }
    }
  });
}
