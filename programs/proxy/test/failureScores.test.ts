import { describe, it } from 'node:test';
import { expect } from 'earl';
import { FailureScores } from '../src/selection/failureScores.js';
import { TestClock } from './testClock.js';

const timeoutMs = 5000;

describe('failure scores', () => {
  it('penalise a replica that fails, also one that fails half of its requests, and decay with time', () => {
    const clock = new TestClock();
    const scores = new FailureScores(clock, () => timeoutMs);
    expect(scores.penalty('a')).toEqual(0);
    for (let count = 0; count < 20; count += 1) scores.add('well', false);
    for (const failed of [true, false, true, false]) scores.add('a', failed);
    expect(scores.penalty('a') > 1).toEqual(true);
    expect(scores.penalty('well')).toEqual(0);
    const before = scores.penalty('a');
    clock.advance(timeoutMs / 2);
    expect(scores.penalty('a') < before / 2).toEqual(true);
    clock.advance(timeoutMs * 10);
    expect(scores.penalty('a') < 0.01).toEqual(true);
  });

  it('do not penalise replicas that all fail alike', () => {
    const scores = new FailureScores(new TestClock(), () => timeoutMs);
    for (let round = 0; round < 40; round += 1) for (const key of ['a', 'b', 'c']) scores.add(key, true);
    for (const key of ['a', 'b', 'c']) expect(scores.penalty(key)).toEqual(0);
  });

  it('forget replicas that are gone', () => {
    const scores = new FailureScores(new TestClock(), () => timeoutMs);
    scores.add('a', true);
    scores.retain(new Set(['b']));
    expect(scores.penalty('a')).toEqual(0);
  });
});
