import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import type { SubmittedOpaque, ItemAttempt, ItemEnd, ItemTransport } from '@pewterlanding/proxy';
import { ItemId, BatchId, RouteName } from '@pewterlanding/model';
import { SimRun } from '../src/index.js';

type Event = readonly [id: string | undefined, data: string];
interface Script {
  readonly events: readonly Event[];
  readonly end: ItemEnd;
}

/** What replicas answer, one attempt after the other; each event takes ten milliseconds. */
class ScriptedItems implements ItemTransport {
  readonly attempts: ItemAttempt[] = [];
  readonly #script: (attempt: ItemAttempt) => Script;
  run: ItemTransport['run'];

  constructor(script: (attempt: ItemAttempt) => Script, after: (waitMs: number, run: () => void) => void) {
    this.#script = script;
    this.run = (attempt, event, abort) =>
      new Promise((resolve) => {
        this.attempts.push(attempt);
        const { events, end } = this.#script(attempt);
        const step = (at: number): void => {
          const next = events[at];
          if (abort.aborted) resolve({ kind: 'broken', reason: 'given up' });
          else if (next === undefined) resolve(end);
          else {
            event(...next);
            after(10, () => step(at + 1));
          }
        };
        after(10, () => step(0));
      });
  }

  get resumes(): readonly (string | undefined)[] {
    return this.attempts.map(({ headers }) => headers['last-event-id']);
  }
}

const host = 'a.example';
const route = v.parse(RouteName, 'r');
const batchId = (text: string) => v.parse(BatchId, text);

/** A fleet with one route for lots, whose replicas answer by a script. */
async function fleetWith(script: (attempt: ItemAttempt) => Script, batch: object = {}) {
  const times: { after?: (waitMs: number, run: () => void) => void } = {};
  const items = new ScriptedItems(script, (waitMs, run) => times.after?.(waitMs, run));
  const run = new SimRun({ seed: 5, items });
  times.after = (waitMs, go) => run.schedule(waitMs, go);
  await run.begin(false);
  const one = { host, prefix: '/p/', kind: 'batch', services: [{ service: 'tag', weight: 1 }], attempts: 2, quota: 'north', batch };
  expect(await run.advanceUntilSettled(run.changeConfiguration({ part: { routes: { r: one } } }), 20_000)).toEqual('confirmed');
  const front = (number: number) => {
    const proxy = run.fleet.host(`front-${number}`).process?.proxy;
    if (proxy === undefined) throw new Error('no front');
    return proxy;
  };
  const hand = (number: number, id: string, tokens: readonly number[] = [10], waitMs = 900): Promise<SubmittedOpaque> =>
    front(number).batches.submitOpaque(
      {
        id: batchId(id),
        route,
        items: tokens.map((stated, position) => ({
          id: v.parse(ItemId, `${id}${position}`),
          path: '/p/x',
          headers: { model: 'm', 'Task-Id': 'forged' },
          body: new Uint8Array([position]),
          tokens: stated,
        })),
      },
      waitMs,
    );
  /** Reads on from the start until so many outcomes are there. */
  const read = async (number: number, id: string, count: number) => {
    for (;;) {
      const seen = await front(number).batches.outcomes(batchId(id), host, count - 1, 1000, 1000);
      if (seen !== 'silent' && seen !== undefined && seen.next >= count) break;
    }
    const all = await front(number).batches.outcomes(batchId(id), host, 0, 0, 1000);
    return all === 'silent' || all === undefined ? all : all.outcomes.map((out) => `${out.id} ${out.state} ${out.text}`);
  };
  return { run, items, front, hand, read };
}

const broken: ItemEnd = { kind: 'broken', reason: 'the replica broke off' };

describe('opaque lots on a whole fleet', () => {
  it('goes on after the last event when a run breaks, also over a surplus event, and lists the whole text once', async () => {
    const scripts: Script[] = [
      {
        events: [
          ['4', 'a'],
          ['5', 'b\nb'],
        ],
        end: broken,
      },
      // It begins anew instead of going on: nothing of it may be kept.
      {
        events: [
          ['4', 'a'],
          ['5', 'b'],
        ],
        end: { kind: 'done' },
      },
      { events: [], end: { kind: 'notRun', status: 503 } },
      { events: [['6', 'c']], end: { kind: 'done' } },
    ];
    const { run, items, hand, read, front } = await fleetWith(() => scripts.shift() ?? { events: [], end: broken });
    expect(await run.advanceUntilSettled(hand(1, 'l'), 2000)).toEqual({ kind: 'accepted' });
    expect(await run.advanceUntilSettled(hand(2, 'l'), 2000)).toEqual({ kind: 'accepted' });
    expect(await run.advanceUntilSettled(hand(3, 'l', [11]), 2000)).toEqual({
      kind: 'rejected',
      status: 409,
      reason: 'this id was used for another batch',
    });
    expect(await run.advanceUntilSettled(read(3, 'l', 1), 20_000)).toEqual(['l0 settled a\nb\nb\nc']);
    expect(items.resumes).toEqual([undefined, '5', '5', '5']);
    const sent = items.attempts[0];
    expect([sent?.path, sent?.headers['host'], sent?.headers['task-id'], sent?.headers['model'], sent?.headers['urgency']]).toEqual([
      '/p/x',
      host,
      'l0',
      'm',
      '7',
    ]);
    expect(await run.advanceUntilSettled(front(2).batches.itemBody(batchId('l'), host, v.parse(ItemId, 'l0'), 900), 2000)).toEqual(
      undefined,
    );
    expect(await run.advanceUntilSettled(front(2).batches.outcomes(batchId('none'), host, 0, 0, 900), 2000)).toEqual(undefined);
  });

  it('takes of two hand-ins at two fronts only what fits, and refuses the other for good', async () => {
    const { run, items, hand, front } = await fleetWith(() => ({ events: [], end: { kind: 'notRun', status: 503 } }), {
      waitingTokens: 30,
    });
    const both = await run.advanceUntilSettled(Promise.all([hand(1, 'l', [10, 10]), hand(2, 'm', [10, 10])]), 2000);
    expect(both.map((one) => (one.kind === 'rejected' ? one.status : one.kind)).sort()).toEqual([429, 'accepted']);
    const refused = both[0]?.kind === 'accepted' ? 'm' : 'l';
    await run.advance(5000);
    expect(items.attempts.filter(({ task }) => task.startsWith(refused))).toEqual([]);
    expect(items.attempts.length > 0).toEqual(true);
    expect(await run.advanceUntilSettled(front(3).batches.outcomes(batchId(refused), host, 0, 0, 900), 2000)).toEqual(undefined);
    const taken = refused === 'l' ? 'm' : 'l';
    expect(await run.advanceUntilSettled(front(4).batches.itemBody(batchId(taken), host, v.parse(ItemId, `${taken}1`), 900), 2000)).toEqual(
      new Uint8Array([1]),
    );
    // After its end nothing of it reaches a replica.
    expect(await run.advanceUntilSettled(front(4).batches.endOpaque(batchId(taken), host, 900), 2000)).toEqual(true);
    await run.advance(1000);
    const before = items.attempts.length;
    await run.advance(5000);
    expect(items.attempts.length).toEqual(before);
  });

  it('gives up after so many answers of 500 or one of 422, and when its route is gone', async () => {
    const { run, items, hand, read } = await fleetWith(({ task }) =>
      task === 'l1'
        ? { events: [], end: { kind: 'notRun', status: 503 } }
        : { events: [], end: { kind: 'status', status: task === 'l0' ? 500 : 422 } },
    );
    expect(await run.advanceUntilSettled(hand(1, 'l', [1, 1, 1]), 2000)).toEqual({ kind: 'accepted' });
    expect(await run.advanceUntilSettled(read(2, 'l', 2), 20_000)).toEqual(['l2 abandoned ', 'l0 abandoned ']);
    expect(items.attempts.filter(({ task }) => task === 'l0').length).toEqual(2);
    expect(await run.advanceUntilSettled(run.changeConfiguration({ part: { routes: { r: null } } }), 20_000)).toEqual('confirmed');
    expect(await run.advanceUntilSettled(read(2, 'l', 3), 20_000)).toEqual(['l2 abandoned ', 'l0 abandoned ', 'l1 abandoned ']);
  });

  it('does not refuse a hand-in whose outcome is unknown, and takes it once when it comes again', async () => {
    const { run, hand, read } = await fleetWith(() => ({ events: [['0', 'x']], end: { kind: 'done' } }), { waitingTokens: 15 });
    const owners = ['lots-0', 'lots-1', 'lots-2'];
    const stores = new Set(await Promise.all(owners.map((shard) => run.batchLeader(shard))));
    for (const name of stores) run.fleet.host(name).machine.freeze();
    expect(await run.advanceUntilSettled(hand(1, 'l', [10], 700), 2000)).toEqual({ kind: 'unknown' });
    for (const name of stores) run.fleet.host(name).machine.wake();
    await run.advance(3000);
    expect(await run.advanceUntilSettled(hand(2, 'l'), 5000)).toEqual({ kind: 'accepted' });
    expect(await run.advanceUntilSettled(read(3, 'l', 1), 20_000)).toEqual(['l0 settled x']);
  });
});
