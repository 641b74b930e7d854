import { describe, it } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { expect } from 'earl';
import fc from 'fast-check';
import * as v from 'valibot';
import { Address } from '@pewterlanding/model';
import { PooledItemTransport, ConnectionPool, defaultHeaderNames } from '../src/index.js';
import type { ItemEnd } from '../src/batch-runner/itemEnd.js';
import type { Behaviour } from './behaviour.js';
import { Ledger } from './ledger.js';
import { ScriptedConnection } from './scriptedConnection.js';
import { TestClock } from './testClock.js';

/** Set by mutation checks, which want the same cases with and without a line. */
const drawnBy = process.env['PROPERTY_SEED'];
const address = v.parse(Address, '127.0.0.1:1');

interface Outcome {
  readonly end: ItemEnd;
  readonly data: readonly string[];
  /** Times that the item was read whole, and that it ran, in this attempt. */
  readonly read: number;
  readonly ran: number;
  /** Which of the item's runs it was. */
  readonly run: number;
}

/** Items that run one after the other at one replica, some of them again, as after a failure or a lost lease. */
class PlayedItems {
  readonly #clock = new TestClock();
  readonly #ledger = new Ledger();
  readonly #connections: ScriptedConnection[] = [];
  readonly #pool: ConnectionPool;
  readonly #transport: PooledItemTransport;

  constructor(script: readonly Behaviour[]) {
    let at = 0;
    this.#pool = new ConnectionPool({
      connectMs: 1000,
      idleMs: 60_000,
      idHeader: defaultHeaderNames.task,
      connect: (_options, done) => {
        const connection = new ScriptedConnection(() => script[at++] ?? 'answer', this.#ledger);
        this.#connections.push(connection);
        process.nextTick(() => done(null, connection));
      },
    });
    this.#transport = new PooledItemTransport({ clock: this.#clock, connections: this.#pool, headerNames: defaultHeaderNames });
  }

  /** Leaves so many steps of the replica, a surplus response among them, for the time of the next attempt. */
  async attempt(id: string, left: number): Promise<Outcome> {
    const { read, ran } = this.#ledger;
    const [readBefore, ranBefore] = [read.get(id) ?? 0, ran.get(id) ?? 0];
    const data: string[] = [];
    let end: ItemEnd | undefined;
    const headers = { host: 'a.example', [defaultHeaderNames.task]: id, 'content-length': '2' };
    const attempt = {
      key: address,
      address,
      instance: undefined,
      task: id,
      method: 'POST' as const,
      path: '/i/',
      headers,
      body: Buffer.from('hi'),
    };
    const ended = this.#transport
      .run({ ...attempt, expiryMs: 5000, failureTimeoutMs: 1000 }, (_id, text) => data.push(text), new AbortController().signal)
      .then((one) => (end = one));
    for (let turn = 0; turn < 50 && end === undefined; turn += 1) {
      await this.#settle();
      if (end === undefined && !this.#move()) this.#clock.next();
    }
    await ended;
    while (this.#connections.some(({ steps }) => steps.length > left)) this.#move();
    await this.#settle();
    const run = read.get(id) ?? 0;
    return { end: await ended, data, read: run - readBefore, ran: (ran.get(id) ?? 0) - ranBefore, run };
  }

  close(): Promise<void> {
    return this.#pool.close();
  }

  #move(): boolean {
    const step = this.#connections.find(({ steps }) => steps.length > 0)?.steps.shift();
    step?.();
    return step !== undefined;
  }

  async #settle(): Promise<void> {
    for (let turn = 0; turn < 4; turn += 1) await setImmediate();
  }
}

const behaviours: readonly Behaviour[] = [
  'answer',
  'full',
  'otherInstance',
  'failure',
  'reset',
  'deaf',
  'cut',
  'garbage',
  'wrongId',
  'doubled',
  'surplus',
  'mute',
  'closing',
];

describe('items at a replica that fails in any way', () => {
  it('are done only by the whole response of that very run, and are called not run only by the replica', async () => {
    const attempts = fc.array(fc.tuple(fc.constantFrom('w-0', 'w-1'), fc.nat({ max: 1 })), { minLength: 2, maxLength: 10 });
    await fc.assert(
      fc.asyncProperty(fc.array(fc.constantFrom(...behaviours), { maxLength: 10 }), attempts, async (script, all) => {
        const played = new PlayedItems(script);
        for (const [id, left] of all) {
          const { end, data, read, ran, run } = await played.attempt(id, left);
          expect(read <= 1).toEqual(true);
          // Not one event of another run, not even of the same item.
          expect(data.every((text) => text === `${id}#${run}`)).toEqual(true);
          if (end.kind === 'done') expect([read, ran, data.length]).toEqual([1, 1, 3]);
          if (end.kind === 'notRun') expect([read, ran]).toEqual([1, 0]);
          if (end.kind === 'unsent') expect(read).toEqual(0);
        }
        await played.close();
      }),
      { numRuns: 300, ...(drawnBy === undefined ? {} : { seed: Number(drawnBy) }) },
    );
  });
});
