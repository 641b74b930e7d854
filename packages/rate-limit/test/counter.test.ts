import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Counter } from '../src/index.js';
import { quotaName } from './support/quotaName.js';
import { twoQuotaRules } from './support/twoQuotaRules.js';

const a = quotaName('a');
const b = quotaName('b');

function counterAt(nowMs: number): Counter {
  const counter = new Counter(twoQuotaRules(), nowMs);
  counter.heard('front', nowMs);
  counter.watch(nowMs);
  return counter;
}

describe('Counter', () => {
  it('lets waiting work overrun its share of any minute by no more than a tenth', () => {
    const counter = counterAt(0);
    counter.tick(new Set([a, b]), 0);
    const spentMs: number[] = [];
    for (let nowMs = 0; nowMs <= 240_000; nowMs += 50) {
      counter.heard('front', nowMs);
      while (counter.reserve(`${nowMs} ${spentMs.length}`, a, { requests: 1, tokens: 10 }, nowMs).ok) spentMs.push(nowMs);
    }
    for (let fromMs = 0; fromMs <= 180_000; fromMs += 1000) {
      const inMinute = spentMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 60_000).length;
      expect(inMinute <= 660).toEqual(true);
    }
    // To spend nothing would not be a proof of the bound.
    expect(spentMs.length > 2200).toEqual(true);
  });

  it('lends what a quota without waiting work or live need has, and stops at once when that has', () => {
    const counter = counterAt(0);
    counter.heard('front', 60_000);
    counter.tick(new Set([a]), 60_000);
    let borrowed = 0;
    while (counter.reserve(`one ${borrowed}`, a, { requests: 1, tokens: 10 }, 60_000).ok) borrowed += 1;
    expect(borrowed).toEqual(120);
    counter.tick(new Set([a, b]), 60_000);
    let own = 0;
    counter.heard('front', 66_000);
    while (counter.reserve(`two ${own}`, a, { requests: 1, tokens: 10 }, 66_000).ok) own += 1;
    expect(own).toEqual(60);
    expect(counter.reserve('b', b, { requests: 1, tokens: 10 }, 66_000)).toEqual({ ok: true });
  });

  it('refunds what did not run, and goes into debt for what used more than its estimate', () => {
    const counter = counterAt(0);
    counter.tick(new Set([a, b]), 60_000);
    expect(counter.reserve('x', a, { requests: 1, tokens: 1000 }, 6000).ok).toEqual(true);
    counter.refund('x');
    counter.refund('x');
    expect(counter.reserve('y', a, { requests: 1, tokens: 6000 }, 6000).ok).toEqual(true);
    counter.settle('y', 9000);
    expect(counter.reserve('z', a, { requests: 1, tokens: 10 }, 8900).ok).toEqual(false);
    expect(counter.reserve('z', a, { requests: 1, tokens: 10 }, 9100).ok).toEqual(true);
  });

  it('starts empty after a takeover, less what open leases stand for', () => {
    const counter = counterAt(0);
    counter.tick(new Set([a, b]), 60_000);
    counter.charge('old', a, { requests: 1, tokens: 2000 });
    expect(counter.reserve('new', a, { requests: 1, tokens: 100 }, 2000).ok).toEqual(false);
    expect(counter.reserve('new', a, { requests: 1, tokens: 100 }, 2200).ok).toEqual(true);
  });

  it('subtracts the fallback allowances of fronts that it does not hear', () => {
    const counter = counterAt(0);
    counter.tick(new Set([a, b]), 60_000);
    counter.watch(5000);
    let taken = 0;
    for (let nowMs = 5000; nowMs <= 65_000; nowMs += 100) {
      counter.watch(nowMs);
      while (counter.reserve(`${nowMs} ${taken}`, a, { requests: 1, tokens: 10 }, nowMs).ok) taken += 1;
    }
    // Half of the share is the fallback of the silent front; the burst of a tenth of a minute was there at the start.
    expect(taken <= 330).toEqual(true);
    expect(taken >= 300).toEqual(true);
  });
});
