import { describe, it } from 'node:test';
import { expect } from 'earl';
import { check, QuotaName } from '@pewterlanding/model';
import { QuotaTree, Bucket, Counter, LocalAllowance, takeBoth } from '../src/index.js';
import type { CounterRules } from '../src/index.js';

function quota(text: string): QuotaName {
  const read = check(QuotaName, text);
  if (!read.ok) throw new Error(text);
  return read.value;
}

const a = quota('a');
const b = quota('b');

function rules(): CounterRules {
  const tree = new QuotaTree(
    new Map([
      [a, { share: 0.5, lends: true }],
      [b, { share: 0.5, lends: true }],
    ]),
  );
  return {
    ceiling: { requests: 1200, tokens: 120_000 },
    tree,
    waitingRatio: 0.1,
    liveRatio: 0.5,
    fallbackRatio: 0.5,
    fronts: 1,
    frontSilenceMs: 1000,
  };
}

function counterAt(nowMs: number): Counter {
  const counter = new Counter(rules(), nowMs);
  counter.heard('front', nowMs);
  counter.watch(nowMs);
  return counter;
}

describe('the two-bucket step', () => {
  it('refills a caller who asks far more often than a unit takes', () => {
    const bucket = new Bucket(10, 60, 0, 0);
    for (let nowMs = 7; nowMs <= 10_003; nowMs += 7) bucket.refill(nowMs);
    expect(bucket.tokens).toEqual(10);
  });

  it('takes from neither bucket when one of them has too little, and says when to come back', () => {
    const allowance = new LocalAllowance({ requests: 10, tokens: 1000 }, { requests: 60, tokens: 6000 }, { requests: 10, tokens: 100 }, 0);
    expect(takeBoth([allowance], { requests: 1, tokens: 300 }, 0)).toEqual({ ok: false, retryAfterMs: 2000 });
    expect(allowance.requests.tokens).toEqual(10);
    expect(takeBoth([allowance], { requests: 1, tokens: 300 }, 2000)).toEqual({ ok: true });
    expect([allowance.requests.tokens, allowance.tokens.tokens]).toEqual([9, 0]);
  });

  it('keeps the fraction of a unit when it is given the same bounds again', () => {
    const bucket = new Bucket(10, 60, 0, 0);
    for (let nowMs = 10; nowMs <= 5000; nowMs += 10) bucket.reshape(10, 60, nowMs);
    expect(bucket.tokens).toEqual(5);
  });
});

describe('the counter', () => {
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
    // The bound must not be kept by spending nothing.
    expect(spentMs.length > 2200).toEqual(true);
  });

  it('lends the room of a branch without waiting work or live need, and gives it back at once', () => {
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

  it('refunds what did not run and goes into debt for what ran dearer than estimated', () => {
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

  it('keeps back the slices of fronts it does not hear', () => {
    const counter = counterAt(0);
    counter.tick(new Set([a, b]), 60_000);
    counter.watch(5000);
    let taken = 0;
    for (let nowMs = 5000; nowMs <= 65_000; nowMs += 100) {
      counter.watch(nowMs);
      while (counter.reserve(`${nowMs} ${taken}`, a, { requests: 1, tokens: 10 }, nowMs).ok) taken += 1;
    }
    // Half of the share lies with the front that is silent; a tenth of a minute was held at the start.
    expect(taken <= 330).toEqual(true);
    expect(taken >= 300).toEqual(true);
  });
});
