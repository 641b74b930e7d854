import { describe, it } from 'node:test';
import { expect } from 'earl';
import { QuotaTree, Counter } from '../src/index.js';
import { quotaName } from './support/quotaName.js';

const a = quotaName('a');
const tree = new QuotaTree(new Map([[a, { share: 1, lends: true }]]));
const rules = {
  ceiling: { requests: 600, tokens: 60_000 },
  tree,
  waitingRatio: 0.1,
  liveRatio: 0.5,
  fallbackRatio: 0.5,
  fronts: 1,
  frontSilenceMs: 1000,
};
const one = { requests: 1, tokens: 10 };

/** How many reservations go through at one moment. */
function burst(counter: Counter, from: string, nowMs: number): number {
  let taken = 0;
  while (counter.reserve(`${from}${taken}`, a, one, nowMs).ok) taken += 1;
  return taken;
}

describe('Balances of a Counter', () => {
  it('bound a minute over any number of moves as one counter would', () => {
    let counter = new Counter(rules, 0);
    counter.heard('f', 0);
    let taken = 0;
    for (let step = 1; step <= 240; step += 1) {
      const nowMs = step * 250;
      counter.heard('f', nowMs);
      counter.watch(nowMs);
      taken += burst(counter, `${step}/`, nowMs);
      if (step % 12 !== 0) continue;
      const next = new Counter(rules, nowMs);
      next.adopt(counter.balances(nowMs), nowMs);
      counter = next;
    }
    // Ten moves or none: a minute's share, and at most the burst of waiting work above it.
    expect([taken > 570, taken <= 660]).toEqual([true, true]);
  });

  it('do not charge a lease again that the next counter reads, and refund it once', () => {
    const counter = new Counter(rules, 0);
    counter.heard('f', 6000);
    counter.watch(6000);
    counter.reserve('x', a, one, 6000);
    const before = counter.balances(6000);
    const next = new Counter(rules, 6000);
    next.adopt(before, 6000);
    next.charge('x', a, one);
    expect(next.balances(6000).purses).toEqual(before.purses);
    next.refund('x');
    next.refund('x');
    expect(next.view()[0]?.held.requests).toEqual((before.purses[0]?.main.requests ?? 0) + 1);
  });
});
