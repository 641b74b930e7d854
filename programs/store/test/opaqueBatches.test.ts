import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { ItemId, BatchId, RouteName } from '@pewterlanding/model';
import { LongPollReads, BatchCommand, BatchShard } from '../src/index.js';

const lease = (number: number, term = 1) => ({ term, number, front: 'f' });
const ref = (position: number, batch = 'l') => ({ batch, position });
const id = (text = 'l') => v.parse(BatchId, text);
const host = 'a.example';
const route = v.parse(RouteName, 'r');

interface Submitted {
  readonly batch?: string;
  readonly tokens?: readonly number[];
  readonly cap?: number;
  readonly bodyHash?: string;
  readonly sentMs?: number;
  readonly dueMs?: number;
}

/** A shard whose clock stands at `at.nowMs`. */
function shardAt(at: { nowMs: number }, finished: (batch: BatchId) => void = () => undefined) {
  const shard = new BatchShard({ nowMs: () => at.nowMs, finished });
  const run = (raw: unknown): ReturnType<BatchShard['apply']> => shard.apply(v.parse(BatchCommand, raw));
  const hand = ({ batch = 'l', tokens = [10, 10, 10], cap = 0, bodyHash = 'h', sentMs = 1000, dueMs }: Submitted = {}) =>
    run({
      kind: 'submit',
      waitingTokens: cap,
      batch: {
        id: batch,
        quota: 'north',
        service: 's',
        bodyHash,
        idempotent: true,
        createdMs: sentMs,
        outputTokens: 0,
        bytesPerToken: 1,
        route: { name: route, host, version: 3, sentMs, dueMs, retainMs: 500, keepMs: 9000, attempts: 2 },
        items: tokens.map((stated, position) => ({
          id: `${batch}${position}`,
          input: '',
          task: { path: '/p/', headers: {}, body: new Uint8Array([position]) },
          tokens: stated,
          state: 'QUEUED',
          queuedAtMs: sentMs,
          notBeforeMs: 0,
          attempts: 0,
        })),
      },
    });
  /** Claims and starts one item. */
  const start = (position: number, number: number, batch = 'l') => {
    run({ kind: 'claim', term: 1, claims: [{ ref: ref(position, batch), lease: lease(number) }] });
    return run({ kind: 'start', ref: ref(position, batch), lease: lease(number) });
  };
  const close = (position: number, number: number, state: string, result: string) =>
    run({ kind: 'close', ref: ref(position), lease: lease(number), state, result });
  const outcomes = (after = 0, bytes = 1000) => shard.find(id(), host)?.outcomes(after, bytes);
  const words = () => outcomes()?.outcomes.map((one) => `${one.id} ${one.state} ${one.text}`);
  return { shard, run, hand, start, close, outcomes, words };
}

const done = { done: true };

describe('a lot of opaque items', () => {
  it('is taken up to the cap exactly, once however often it comes, and makes room as its items are final', () => {
    const { shard, run, hand, start, close } = shardAt({ nowMs: 0 });
    expect(hand({ batch: 'l', cap: 50 })).toEqual(done);
    expect(hand({ batch: 'm', cap: 50, tokens: [10, 11] })).toEqual({ done: false, reason: 'full' });
    expect(hand({ batch: 'm', cap: 50, tokens: [10, 10] })).toEqual(done);
    expect(hand({ batch: 'n', cap: 50, tokens: [1] })).toEqual({ done: false, reason: 'full' });
    // A repeat is no second lot, and is not refused for room that it takes itself.
    expect(hand({ batch: 'l', cap: 50 })).toEqual(done);
    expect(hand({ batch: 'l', cap: 50, bodyHash: 'other' })).toEqual({ done: false, reason: 'different' });
    expect(shard.waitingTokens(route)).toEqual(50);
    start(0, 1);
    close(0, 1, 'COMPLETED', 'x');
    close(0, 1, 'COMPLETED', 'x');
    expect(shard.waitingTokens(route)).toEqual(40);
    run({ kind: 'end', batch: 'm', host, atMs: 1 });
    expect(shard.waitingTokens(route)).toEqual(20);
    const copy = new BatchShard();
    copy.restore(shard.snapshot());
    expect(copy.waitingTokens(route)).toEqual(20);
  });

  it('lists outcomes in order of finishing, at positions that never change, and keeps bytes only until then', () => {
    const { shard, start, close, outcomes, words, hand } = shardAt({ nowMs: 0 });
    hand();
    for (const position of [0, 1, 2]) start(position, position);
    expect(shard.find(id(), host)?.taskOf(v.parse(ItemId, 'l2'))?.body).toEqual(new Uint8Array([2]));
    close(2, 2, 'COMPLETED', 'two');
    expect(words()).toEqual(['l2 settled two']);
    expect(shard.find(id(), host)?.taskOf(v.parse(ItemId, 'l2'))).toEqual(undefined);
    expect(shard.find(id(), host)?.taskOf(v.parse(ItemId, 'l0'))?.body).toEqual(new Uint8Array([0]));
    close(0, 0, 'COMPLETED', 'none');
    close(1, 1, 'FAILED', '');
    close(2, 2, 'FAILED', 'late');
    expect(words()).toEqual(['l2 settled two', 'l0 settled none', 'l1 abandoned ']);
    expect(outcomes(1, 1)).toEqual({
      total: 3,
      ended: false,
      outcomes: [{ id: v.parse(ItemId, 'l0'), state: 'settled', text: 'none' }],
      next: 2,
    });
    expect(outcomes(9)?.outcomes).toEqual([]);
    // Nobody reads a lot under the host of another.
    expect(shard.find(id(), 'b.example')).toEqual(undefined);
    const copy = new BatchShard();
    copy.restore(shard.snapshot());
    expect(copy.find(id(), host)?.outcomes(0, 1000)).toEqual(outcomes());
  });

  it('gives items up for a 422, so many answers of 500, their time, their route and their end, and for nothing else', () => {
    const at = { nowMs: 0 };
    const { shard, run, hand, start, close, words } = shardAt(at);
    hand({ tokens: [1, 1, 1, 1, 1] });
    const release = (position: number, number: number, more: object) =>
      run({ kind: 'release', ref: ref(position), lease: lease(number), notBeforeMs: 0, tried: false, maxAttempts: 0, ...more });
    // The budget, a lost front and a broken run put it back, however often.
    for (let number = 1; number < 9; number += 1) {
      start(0, number);
      if (number % 2 === 0) run({ kind: 'lost', ref: ref(0), lease: lease(number) });
      else release(0, number, { tried: true });
    }
    start(0, 10);
    release(0, 10, { failed: true });
    expect(words()).toEqual([]);
    start(0, 11);
    release(0, 11, { failed: true });
    start(1, 12);
    close(1, 12, 'FAILED', '');
    // Gone from an older setup than the one by which it was taken says nothing.
    run({ kind: 'abandon', refs: [ref(2)], version: 2 });
    expect(words()).toEqual(['l0 abandoned ', 'l1 abandoned ']);
    run({ kind: 'abandon', refs: [ref(2)], version: 3 });
    at.nowMs = 500;
    expect(shard.aged()).toEqual({ expired: [], droppable: [] });
    at.nowMs = 501;
    expect(shard.aged()).toEqual({ expired: [id()], droppable: [] });
    run({ kind: 'expire', batches: [id()] });
    expect(words()?.length).toEqual(5);
    // Its results stay as long as they must, by the leader's own clock.
    run({ kind: 'forget', beforeMs: 1e15 });
    at.nowMs = 9000;
    expect(shard.aged().droppable).toEqual([]);
    at.nowMs = 9001;
    expect(shard.aged().droppable).toEqual([id()]);
    run({ kind: 'drop', batches: [id()] });
    expect(shard.batches.size).toEqual(0);
  });

  it('starts nothing after its end, also what runs already and would go on elsewhere', () => {
    const { shard, run, hand, start, close, words } = shardAt({ nowMs: 0 });
    hand();
    start(0, 1);
    // A run that broke asks again under its lease.
    expect(run({ kind: 'start', ref: ref(0), lease: lease(1) })).toEqual(done);
    expect(run({ kind: 'end', batch: 'l', host: 'b.example', atMs: 5 })).toEqual({ done: false, reason: 'unknown' });
    expect(run({ kind: 'end', batch: 'l', host, atMs: 5 })).toEqual(done);
    expect(run({ kind: 'end', batch: 'l', host, atMs: 6 })).toEqual(done);
    expect(run({ kind: 'start', ref: ref(0), lease: lease(1) })).toEqual({ done: false, reason: 'ended' });
    close(0, 1, 'COMPLETED', 'late');
    expect(words()).toEqual(['l0 abandoned ', 'l1 abandoned ', 'l2 abandoned ']);
    expect(shard.openLeases()).toEqual([]);
    // A newer dispatcher does not take a running item from its lease; after the end it is refused there too.
    const other = shardAt({ nowMs: 0 });
    other.hand();
    other.start(0, 1);
    other.run({ kind: 'fence', term: 2 });
    expect(other.run({ kind: 'start', ref: ref(0), lease: lease(1) })).toEqual(done);
    other.run({ kind: 'end', batch: 'l', host, atMs: 5 });
    expect(other.run({ kind: 'start', ref: ref(0), lease: lease(1) }).done).toEqual(false);
  });

  it('goes by due time within its branch, and rests after it was given back', () => {
    const at = { nowMs: 0 };
    const { shard, run, hand, start } = shardAt(at);
    hand({ batch: 'l', tokens: [1], sentMs: 1000, dueMs: 8000 });
    hand({ batch: 'm', tokens: [1], sentMs: 2000, dueMs: 3000 });
    const next = () => shard.queued(9, 0).items.map((item) => item.route?.item);
    expect(next()).toEqual([v.parse(ItemId, 'm0'), v.parse(ItemId, 'l0')]);
    start(0, 1, 'm');
    run({ kind: 'release', ref: ref(0, 'm'), lease: lease(1), notBeforeMs: 0, tried: false, maxAttempts: 0, waitMs: 50 });
    expect(next()).toEqual([v.parse(ItemId, 'l0')]);
    at.nowMs = 50;
    expect(next().length).toEqual(2);
  });

  it('wakes a held read when something is listed, and holds only so many', async () => {
    const timers: (() => void)[] = [];
    const clock = {
      nowMs: () => 0,
      wallMs: () => 0,
      after: (_waitMs: number, run: () => void) => {
        timers.push(run);
        return () => undefined;
      },
    };
    const held = new LongPollReads(clock, 2);
    const { hand, start, close, shard } = shardAt({ nowMs: 0 }, (batch) => held.wake(batch));
    hand();
    start(0, 1);
    expect(shard.find(id(), host)?.waitsAt(0)).toEqual(true);
    const reads = [held.hold(id(), 1000), held.hold(id(), 1000)];
    await held.hold(id(), 1000);
    expect(held.count).toEqual(2);
    close(0, 1, 'COMPLETED', 'x');
    await Promise.all(reads);
    expect([held.count, shard.find(id(), host)?.waitsAt(0), shard.find(id(), host)?.waitsAt(1)]).toEqual([0, false, true]);
    const last = held.hold(id(), 1000);
    timers.at(-1)?.();
    await last;
    expect(held.count).toEqual(0);
  });
});
