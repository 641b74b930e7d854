import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { ItemId } from '@pewterlanding/model';
import { BatchShard } from '../src/index.js';
import { opaqueItem } from './support/opaqueItem.js';
import { opaqueShardAt } from './support/opaqueShardAt.js';

const { host, id, lease, ref, route } = opaqueItem;
const done = { done: true };

describe('BatchShard with opaque items', () => {
  it('accepts up to the token limit of a route exactly, once for all retries, and frees tokens as items become final', () => {
    const { shard, run, submit, start, close } = opaqueShardAt({ nowMs: 0 });
    expect(submit({ batch: 'l', limit: 50 })).toEqual(done);
    expect(submit({ batch: 'm', limit: 50, tokens: [10, 11] })).toEqual({ done: false, reason: 'full' });
    expect(submit({ batch: 'm', limit: 50, tokens: [10, 10] })).toEqual(done);
    expect(submit({ batch: 'n', limit: 50, tokens: [1] })).toEqual({ done: false, reason: 'full' });
    // A retry is no second batch, and is not refused for the tokens that it waits with itself.
    expect(submit({ batch: 'l', limit: 50 })).toEqual(done);
    expect(submit({ batch: 'l', limit: 50, bodyHash: 'other' })).toEqual({ done: false, reason: 'different' });
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

  it('lists outcomes in order of finishing, at positions that never change, and keeps bodies only until then', () => {
    const { shard, start, close, outcomes, outcomeTexts, submit } = opaqueShardAt({ nowMs: 0 });
    submit();
    for (const position of [0, 1, 2]) start(position, position);
    expect(shard.find(id(), host)?.taskOf(v.parse(ItemId, 'l2'))?.body).toEqual(new Uint8Array([2]));
    close(2, 2, 'COMPLETED', 'two');
    expect(outcomeTexts()).toEqual(['l2 settled two']);
    expect(shard.find(id(), host)?.taskOf(v.parse(ItemId, 'l2'))).toEqual(undefined);
    expect(shard.find(id(), host)?.taskOf(v.parse(ItemId, 'l0'))?.body).toEqual(new Uint8Array([0]));
    close(0, 0, 'COMPLETED', 'none');
    close(1, 1, 'FAILED', '');
    close(2, 2, 'FAILED', 'late');
    expect(outcomeTexts()).toEqual(['l2 settled two', 'l0 settled none', 'l1 abandoned ']);
    expect(outcomes(1, 1)).toEqual({
      total: 3,
      ended: false,
      outcomes: [{ id: v.parse(ItemId, 'l0'), state: 'settled', text: 'none' }],
      next: 2,
    });
    expect(outcomes(9)?.outcomes).toEqual([]);
    // A batch is not found under another host.
    expect(shard.find(id(), 'b.example')).toEqual(undefined);
    const copy = new BatchShard();
    copy.restore(shard.snapshot());
    expect(copy.find(id(), host)?.outcomes(0, 1000)).toEqual(outcomes());
  });

  it('fails items for a 422, the limit of 500 responses, their retention, a removed route and the end of the batch alone', () => {
    const at = { nowMs: 0 };
    const { shard, run, submit, start, close, outcomeTexts } = opaqueShardAt(at);
    submit({ tokens: [1, 1, 1, 1, 1] });
    const release = (position: number, number: number, more: object) =>
      run({ kind: 'release', ref: ref(position), lease: lease(number), notBeforeMs: 0, tried: false, maxAttempts: 0, ...more });
    // Refusals by the quota, a lost front and a broken run requeue it, however often.
    for (let number = 1; number < 9; number += 1) {
      start(0, number);
      if (number % 2 === 0) run({ kind: 'lost', ref: ref(0), lease: lease(number) });
      else release(0, number, { tried: true });
    }
    start(0, 10);
    release(0, 10, { failed: true });
    expect(outcomeTexts()).toEqual([]);
    start(0, 11);
    release(0, 11, { failed: true });
    start(1, 12);
    close(1, 12, 'FAILED', '');
    // A configuration older than that of the submission proves nothing about the route.
    run({ kind: 'abandon', refs: [ref(2)], version: 2 });
    expect(outcomeTexts()).toEqual(['l0 abandoned ', 'l1 abandoned ']);
    run({ kind: 'abandon', refs: [ref(2)], version: 3 });
    at.nowMs = 500;
    expect(shard.aged()).toEqual({ expired: [], droppable: [] });
    at.nowMs = 501;
    expect(shard.aged()).toEqual({ expired: [id()], droppable: [] });
    run({ kind: 'expire', batches: [id()] });
    expect(outcomeTexts()?.length).toEqual(5);
    // Its results stay for as long as the route says, by the leader's own clock.
    run({ kind: 'forget', beforeMs: 1e15 });
    at.nowMs = 9000;
    expect(shard.aged().droppable).toEqual([]);
    at.nowMs = 9001;
    expect(shard.aged().droppable).toEqual([id()]);
    run({ kind: 'drop', batches: [id()] });
    expect(shard.batches.size).toEqual(0);
  });

  it('starts nothing after its end, nor retries what runs already', () => {
    const { shard, run, submit, start, close, outcomeTexts } = opaqueShardAt({ nowMs: 0 });
    submit();
    start(0, 1);
    // A broken run starts again under its lease.
    expect(run({ kind: 'start', ref: ref(0), lease: lease(1) })).toEqual(done);
    expect(run({ kind: 'end', batch: 'l', host: 'b.example', atMs: 5 })).toEqual({ done: false, reason: 'unknown' });
    expect(run({ kind: 'end', batch: 'l', host, atMs: 5 })).toEqual(done);
    expect(run({ kind: 'end', batch: 'l', host, atMs: 6 })).toEqual(done);
    expect(run({ kind: 'start', ref: ref(0), lease: lease(1) })).toEqual({ done: false, reason: 'ended' });
    close(0, 1, 'COMPLETED', 'late');
    expect(outcomeTexts()).toEqual(['l0 abandoned ', 'l1 abandoned ', 'l2 abandoned ']);
    expect(shard.openLeases()).toEqual([]);
    // A newer dispatcher does not take a running item from its lease; after the end it is refused there too.
    const other = opaqueShardAt({ nowMs: 0 });
    other.submit();
    other.start(0, 1);
    other.run({ kind: 'fence', term: 2 });
    expect(other.run({ kind: 'start', ref: ref(0), lease: lease(1) })).toEqual(done);
    other.run({ kind: 'end', batch: 'l', host, atMs: 5 });
    expect(other.run({ kind: 'start', ref: ref(0), lease: lease(1) }).done).toEqual(false);
  });

  it('orders by due time within a quota, and backs off after a release', () => {
    const at = { nowMs: 0 };
    const { shard, run, submit, start } = opaqueShardAt(at);
    submit({ batch: 'l', tokens: [1], sentMs: 1000, dueMs: 8000 });
    submit({ batch: 'm', tokens: [1], sentMs: 2000, dueMs: 3000 });
    const next = () => shard.queued(9, 0).items.map((item) => item.route?.item);
    expect(next()).toEqual([v.parse(ItemId, 'm0'), v.parse(ItemId, 'l0')]);
    start(0, 1, 'm');
    run({ kind: 'release', ref: ref(0, 'm'), lease: lease(1), notBeforeMs: 0, tried: false, maxAttempts: 0, waitMs: 50 });
    expect(next()).toEqual([v.parse(ItemId, 'l0')]);
    at.nowMs = 50;
    expect(next().length).toEqual(2);
  });
});
