import { describe, it } from 'node:test';
import { expect } from 'earl';
import { simScenario } from '../src/index.js';

const rule = 'an order has two outcomes, or two orders one number';

async function expectKept(scenario: string, seed: number): Promise<void> {
  const { verdicts, violations } = await simScenario(scenario, seed);
  expect(violations).toEqual([]);
  expect((verdicts.find((verdict) => verdict.rule === rule)?.judged ?? 0) > 10).toEqual(true);
}

describe('orders of operators', () => {
  for (const seed of [4, 5]) it(`that race on one version are never both taken, seed ${seed}`, () => expectKept('ordersRace', seed));
  for (const seed of [4, 5])
    it(`sent again are never refused, whoever leads by then, seed ${seed}`, () => expectKept('ordersRepeated', seed));
  for (const seed of [4, 5])
    it(`are known for what they are after hundreds of others, seed ${seed}`, () => expectKept('oldOrdersRepeated', seed));
});
