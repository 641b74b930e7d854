import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { QuotaName } from '@pewterlanding/model';
import * as v from 'valibot';
import { FallbackAllowances } from '../src/quota/fallbackAllowances.js';
import { TestClock } from './testClock.js';

const minuteMs = 60_000;
const rate = { requests: 600, tokens: 60_000 };
const cost = { requests: 1, tokens: 100 };
const quota = v.parse(QuotaName, 'triage');

describe('FallbackAllowances', () => {
  it('has accrued a burst by the time the counter is first lost', () => {
    const clock = new TestClock();
    const allowances = new FallbackAllowances({ clock, rateOf: () => rate });
    clock.advance(minuteMs);
    expect(allowances.take(quota, cost)).toEqual(true);
  });

  it('begins empty, so that a proxy that restarts again and again gains nothing', () => {
    const clock = new TestClock();
    const allowances = new FallbackAllowances({ clock, rateOf: () => rate });
    expect(allowances.take(quota, cost)).toEqual(false);
    expect(allowances.retryAfterMs(quota, cost)).toEqual(100);
  });

  it('gives a quota without a share nothing', () => {
    const clock = new TestClock();
    const allowances = new FallbackAllowances({ clock, rateOf: () => undefined });
    clock.advance(minuteMs);
    expect(allowances.take(quota, cost)).toEqual(false);
    expect(allowances.retryAfterMs(quota, cost)).toEqual(undefined);
  });

  it('spends at most its rate and one burst over any time, however the calls are spread', () => {
    const pauses = fc.array(fc.integer({ min: 1, max: 5000 }), { minLength: 1, maxLength: 200 });
    fc.assert(
      fc.property(pauses, (waitsMs) => {
        const clock = new TestClock();
        const allowances = new FallbackAllowances({ clock, rateOf: () => rate });
        const moments = [{ atMs: 0, taken: 0 }];
        let taken = 0;
        for (const waitMs of waitsMs) {
          clock.advance(waitMs);
          for (let count = 0; count < 100 && allowances.take(quota, cost); count += 1) taken += 1;
          moments.push({ atMs: clock.nowMs(), taken });
        }
        for (const [index, from] of moments.entries())
          for (const to of moments.slice(index + 1)) {
            const limit = (rate.requests * (to.atMs - from.atMs)) / minuteMs + rate.requests * 0.1;
            expect(to.taken - from.taken <= limit).toEqual(true);
          }
      }),
    );
  });
});
