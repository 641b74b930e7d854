import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Bucket, LocalAllowance, takeBoth } from '../src/index.js';

describe('Bucket and takeBoth', () => {
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
