import { describe, it } from 'node:test';
import { expect } from 'earl';
import { BatchShard } from '../src/index.js';
import { shardWithBatch } from './support/shardWithBatch.js';

const lease = (term: number, number: number) => ({ term, number, front: 'f' });
const ref = (position: number) => ({ batch: 'l', position });

const states = (shard: BatchShard): readonly string[] =>
  [...shard.batches.values()].flatMap((batch) => batch.record.items.map((item) => item.state));

describe('BatchShard', () => {
  it('claims once, under the newest term, and starts nothing of an older one', () => {
    const { shard, run } = shardWithBatch(true);
    expect(run({ kind: 'claim', term: 2, claims: [{ ref: ref(0), lease: lease(2, 1) }] }).claimed?.length).toEqual(1);
    expect(run({ kind: 'claim', term: 2, claims: [{ ref: ref(0), lease: lease(2, 2) }] }).claimed).toEqual([]);
    expect(run({ kind: 'claim', term: 1, claims: [{ ref: ref(1), lease: lease(1, 9) }] })).toEqual({
      done: false,
      reason: 'term',
      term: 2,
    });
    expect(run({ kind: 'fence', term: 3 })).toEqual({ done: true, term: 3 });
    expect(states(shard)).toEqual(['QUEUED', 'QUEUED', 'QUEUED']);
    expect(run({ kind: 'start', ref: ref(0), lease: lease(2, 1) })).toEqual({ done: false, reason: 'term' });
  });

  it('writes a result once, and refuses a late one under another lease', () => {
    const { shard, run } = shardWithBatch(true);
    run({ kind: 'claim', term: 1, claims: [{ ref: ref(0), lease: lease(1, 1) }] });
    run({ kind: 'start', ref: ref(0), lease: lease(1, 1) });
    // The front counts as lost and the item runs again elsewhere; then the first front closes after all.
    run({ kind: 'lost', ref: ref(0), lease: lease(1, 1) });
    run({ kind: 'claim', term: 1, claims: [{ ref: ref(0), lease: lease(1, 2) }] });
    expect(run({ kind: 'close', ref: ref(0), lease: lease(1, 1), state: 'COMPLETED', result: '"late"' })).toEqual({
      done: false,
      reason: 'lease',
    });
    run({ kind: 'start', ref: ref(0), lease: lease(1, 2) });
    expect(run({ kind: 'close', ref: ref(0), lease: lease(1, 2), state: 'COMPLETED', result: '"right"' })).toEqual({ done: true });
    expect(run({ kind: 'close', ref: ref(0), lease: lease(1, 2), state: 'FAILED', result: '"again"' })).toEqual({ done: true });
    expect([...shard.batches.values()][0]?.results(0, 9).results.map((result) => result.result)).toEqual(['"right"']);
  });

  it('never queues again what is not idempotent and may have run', () => {
    const { shard, run } = shardWithBatch(false);
    run({ kind: 'claim', term: 1, claims: [0, 1].map((position) => ({ ref: ref(position), lease: lease(1, position) })) });
    run({ kind: 'start', ref: ref(0), lease: lease(1, 0) });
    for (const position of [0, 1]) run({ kind: 'lost', ref: ref(position), lease: lease(1, position) });
    expect(states(shard)).toEqual(['FAILED', 'QUEUED', 'QUEUED']);
  });

  it('starts nothing of an ended batch, lets running items finish, and counts only refusals by the quota as attempts', () => {
    const { shard, run } = shardWithBatch(true);
    run({ kind: 'claim', term: 1, claims: [0, 1].map((position) => ({ ref: ref(position), lease: lease(1, position) })) });
    run({ kind: 'start', ref: ref(0), lease: lease(1, 0) });
    run({ kind: 'end', batch: 'l', atMs: 2000 });
    expect(run({ kind: 'start', ref: ref(1), lease: lease(1, 1) })).toEqual({ done: false, reason: 'ended' });
    expect(run({ kind: 'close', ref: ref(0), lease: lease(1, 0), state: 'COMPLETED', result: '1' })).toEqual({ done: true });
    expect(states(shard)).toEqual(['COMPLETED', 'ENDED', 'ENDED']);
    const other = shardWithBatch(true);
    for (let number = 0; number < 4; number += 1) {
      other.run({ kind: 'claim', term: 1, claims: [{ ref: ref(0), lease: lease(1, number) }] });
      other.run({ kind: 'release', ref: ref(0), lease: lease(1, number), notBeforeMs: 0, tried: number > 0, maxAttempts: 2 });
    }
    expect(states(other.shard)).toEqual(['FAILED', 'QUEUED', 'QUEUED']);
  });

  it('is the same after a snapshot, and forgets only batches that are finished and old', () => {
    const { shard, run } = shardWithBatch(true);
    run({ kind: 'claim', term: 4, claims: [{ ref: ref(1), lease: lease(4, 1) }] });
    const copy = new BatchShard();
    copy.restore(shard.snapshot());
    expect([copy.term, copy.queued(9, 9999), copy.openLeases()]).toEqual([shard.term, shard.queued(9, 9999), shard.openLeases()]);
    run({ kind: 'forget', beforeMs: 5000 });
    expect(shard.batches.size).toEqual(1);
    run({ kind: 'end', batch: 'l', atMs: 2000 });
    run({ kind: 'forget', beforeMs: 1000 });
    expect(shard.batches.size).toEqual(1);
    run({ kind: 'forget', beforeMs: 1001 });
    expect(shard.batches.size).toEqual(0);
  });
});
