import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Counters } from '@pewterlanding/runtime';
import { OutlierEjection } from '../src/selection/outlierEjection.js';
import { TestClock } from './testClock.js';

const failureTimeoutMs = 2000;

function opened() {
  const clock = new TestClock();
  const counters = new Counters();
  const ejection = new OutlierEjection({ clock, counters, failureTimeoutMs: () => failureTimeoutMs });
  const wait = (waitMs: number): void => {
    clock.after(waitMs, () => undefined);
    clock.next();
  };
  const isAvailable = (): boolean => ejection.isAvailable('a', clock.nowMs());
  /** Milliseconds until the replica is available again, by steps of 1 ms. */
  const ejectedMs = (): number => {
    let waitedMs = 0;
    for (; !isAvailable() && waitedMs < failureTimeoutMs * 10; waitedMs += 1) wait(1);
    return waitedMs;
  };
  return { ejection, counters, wait, isAvailable, ejectedMs };
}

describe('outlier ejection', () => {
  it('doubles its time with each consecutive failure up to twice the failure timeout', () => {
    const { ejection, ejectedMs } = opened();
    const times: number[] = [];
    for (let failures = 0; failures < 8; failures += 1) {
      ejection.attemptBegun('a');
      ejection.attemptEnded('a', 'failed');
      times.push(ejectedMs());
    }
    expect(times).toEqual([100, 200, 400, 800, 1600, 3200, 4000, 4000]);
    expect(ejection.consecutiveFailures('a')).toEqual(8);
    ejection.attemptEnded('a', 'succeeded');
    expect(ejection.consecutiveFailures('a')).toEqual(0);
  });

  it('is shorter for an overloaded replica', () => {
    const { ejection, ejectedMs } = opened();
    const times: number[] = [];
    for (let refusals = 0; refusals < 4; refusals += 1) {
      ejection.attemptEnded('a', 'overloaded');
      times.push(ejectedMs());
    }
    expect(times).toEqual([40, 80, 160, 200]);
  });

  it('lets one probe through when half open, and counts failures of requests in flight once', () => {
    const { ejection, counters, wait, isAvailable } = opened();
    for (let failures = 0; failures < 3; failures += 1) ejection.attemptEnded('a', 'failed');
    expect(ejection.consecutiveFailures('a')).toEqual(1);
    expect(counters.all()['replica.hurt']).toEqual(1);
    wait(100);
    expect(isAvailable()).toEqual(true);
    ejection.attemptBegun('a');
    expect(isAvailable()).toEqual(false);
    ejection.attemptEnded('a', 'unknown');
    expect(isAvailable()).toEqual(true);
    ejection.attemptBegun('a');
    ejection.attemptEnded('a', 'succeeded');
    ejection.attemptBegun('a');
    expect(isAvailable()).toEqual(true);
  });

  it('takes three suspect outcomes in a row for a failure, and forgets replicas that are gone', () => {
    const { ejection, isAvailable } = opened();
    for (const outcome of ['suspect', 'suspect', 'succeeded', 'suspect', 'suspect'] as const) ejection.attemptEnded('a', outcome);
    expect(isAvailable()).toEqual(true);
    ejection.attemptEnded('a', 'suspect');
    expect(isAvailable()).toEqual(false);
    ejection.retain(new Set(['b']));
    expect(isAvailable()).toEqual(true);
  });
});
