import { describe, it } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { expect } from 'earl';
import fc from 'fast-check';
import * as v from 'valibot';
import { NodeName, Configuration } from '@pewterlanding/model';
import { Counters } from '@pewterlanding/runtime';
import { ReplicaSelector, ConnectionPool, RoutingState, defaultHeaderNames, ProxyHandler, InFlightCounts } from '../src/index.js';
import type { ResponseWriter } from '../src/forwarding/responseWriter.js';
import type { Behaviour } from './behaviour.js';
import { Ledger } from './ledger.js';
import { ScriptedConnection } from './scriptedConnection.js';
import { TestClock } from './testClock.js';

/** Set by mutation checks, which want the same cases with and without a line. */
const drawnBy = process.env['PROPERTY_SEED'];
const replicas = 3;
const deadlineMs = 4000;
const routes = {
  whole: { host: 'a.example', prefix: '/w/', kind: 'whole', idempotent: false, attempts: 2, services: [{ service: 's', weight: 1 }] },
  again: { host: 'a.example', prefix: '/r/', kind: 'whole', idempotent: true, attempts: 2, services: [{ service: 's', weight: 1 }] },
  stream: { host: 'a.example', prefix: '/s/', kind: 'streamed', attempts: 2, services: [{ service: 's', weight: 1 }] },
  resume: { host: 'a.example', prefix: '/c/', kind: 'streamed', resumable: true, attempts: 3, services: [{ service: 's', weight: 1 }] },
};
const attempts = { w: 2, r: 2, s: 2, c: 3 };
/** Statuses that promise that the request did not run and never will. */
const promises = new Set([408, 421, 429, 503]);

interface Client {
  readonly id: string;
  readonly route: keyof typeof attempts;
  readonly abort: AbortController;
  readonly heads: number[];
  readonly seals: string[];
  body: string;
  ends: number;
  left: boolean;
  done: boolean;
}

type Step =
  | { readonly kind: 'request'; readonly route: keyof typeof attempts }
  | { readonly kind: 'replica'; readonly pick: number }
  | { readonly kind: 'time' }
  | { readonly kind: 'leave'; readonly pick: number }
  | { readonly kind: 'drain'; readonly pick: number };

/** One front's exchanges with scripted replicas, moved on step by step; no network, no time of its own. */
class Played {
  readonly clock = new TestClock();
  readonly counters = new Counters();
  readonly ledger = new Ledger();
  readonly clients: Client[] = [];
  readonly #connections: ScriptedConnection[] = [];
  readonly #waiting: (() => void)[] = [];
  readonly #pool: ConnectionPool;
  readonly #proxyHandler: ProxyHandler;
  readonly #slowReaders: boolean;

  constructor(script: readonly Behaviour[], slowReaders: boolean) {
    this.#slowReaders = slowReaders;
    let at = 0;
    const next = (): Behaviour => script[at++] ?? 'answer';
    const { clock, counters } = this;
    const routingState = new RoutingState({ front: v.parse(NodeName, 'front-1'), instance: 'l', clock });
    const configuration = v.parse(Configuration, {
      services: { s: { kind: 'whole', idempotent: false, replicas: { maxSlots: 16 }, connections: 64 } },
      quotas: {},
      routes,
      joining: true,
    });
    routingState.apply([
      { key: 'setup', version: [1, 0], volatile: false, value: { version: 1, configuration } },
      ...Array.from({ length: replicas }, (_, number) => ({
        key: `replica/s/life-${number}`,
        version: [1, 0] satisfies [number, number],
        volatile: false,
        value: { service: 's', address: `127.0.0.1:${number + 1}`, slots: 4, incarnation: 1, instance: `life-${number}`, state: 'serving' },
      })),
    ]);
    this.#pool = new ConnectionPool({
      connectMs: 1000,
      idleMs: 60_000,
      idHeader: defaultHeaderNames.task,
      connect: (_options, done) => {
        const connection = new ScriptedConnection(next, this.ledger);
        this.#connections.push(connection);
        process.nextTick(() => done(null, connection));
      },
    });
    const tables = () => routingState.tables;
    const zone = 'z';
    const inFlight = new InFlightCounts();
    const hasIdleConnection = (key: string): boolean => this.#pool.hasIdle(key);
    const random = (): number => 0.4;
    const selector = new ReplicaSelector({ clock, random, zone, tables, inFlight, hasIdleConnection, counters });
    this.#proxyHandler = new ProxyHandler({
      clock,
      routingState,
      selector,
      connections: this.#pool,
      headerNames: defaultHeaderNames,
      counters,
    });
  }

  async play(steps: readonly Step[]): Promise<void> {
    for (const step of steps) {
      this.#step(step);
      await this.settle();
    }
    // Whatever is left to come comes, and time goes on: nothing may be held for ever.
    for (let turn = 0; turn < 400 && this.clients.some(({ done }) => !done); turn += 1) {
      while (this.#moveReplica(0) || this.#drain(0)) await this.settle();
      if (this.clients.some(({ done }) => !done)) this.clock.next();
      await this.settle();
    }
    while (this.#moveReplica(0)) await this.settle();
    await this.#pool.close();
  }

  get running(): number {
    return this.#proxyHandler.running;
  }

  async settle(): Promise<void> {
    for (let turn = 0; turn < 4; turn += 1) await setImmediate();
  }

  #step(step: Step): void {
    if (step.kind === 'request') this.#request(step.route);
    if (step.kind === 'replica') this.#moveReplica(step.pick);
    if (step.kind === 'time') this.clock.next();
    if (step.kind === 'drain') this.#drain(step.pick);
    if (step.kind === 'leave') {
      const here = this.clients.filter(({ done, left }) => !done && !left);
      const client = here[step.pick % Math.max(1, here.length)];
      if (client === undefined) return;
      client.left = true;
      client.abort.abort();
    }
  }

  #moveReplica(pick: number): boolean {
    const able = this.#connections.filter(({ steps }) => steps.length > 0);
    const step = able[pick % Math.max(1, able.length)]?.steps.shift();
    step?.();
    return step !== undefined;
  }

  #drain(pick: number): boolean {
    const [run] = this.#waiting.splice(pick % Math.max(1, this.#waiting.length), 1);
    run?.();
    return run !== undefined;
  }

  #request(route: keyof typeof attempts): void {
    const id = `${route}-${this.clients.length}`;
    const client: Client = { id, route, abort: new AbortController(), heads: [], seals: [], body: '', ends: 0, left: false, done: false };
    this.clients.push(client);
    const writer: ResponseWriter = {
      head: (status, _reason, headers) => {
        client.heads.push(status);
        const at = headers.findIndex((name, position) => position % 2 === 0 && name === 'seal');
        if (at >= 0) client.seals.push(headers[at + 1] ?? '');
      },
      write: (chunk) => {
        client.body += String(chunk);
        return !this.#slowReaders;
      },
      drained: (run) => void this.#waiting.push(run),
      end: (chunk) => {
        client.body += String(chunk ?? '');
        client.ends += 1;
      },
      destroy: () => (client.ends += 1),
    };
    const headers = [
      'host',
      'a.example',
      defaultHeaderNames.task,
      id,
      defaultHeaderNames.expiryMs,
      String(deadlineMs),
      'content-length',
      '2',
    ];
    const task = { method: 'POST', host: 'a.example', url: `/${route}/`, headers, body: Buffer.from('hi') };
    void this.#proxyHandler.carry(task, writer, client.abort.signal).then(() => (client.done = true));
  }
}

const behaviour = fc.constantFrom<Behaviour[]>(
  'answer',
  'answer',
  'full',
  'otherInstance',
  'wordlessRefusal',
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
);
const pick = fc.nat({ max: 7 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.constantFrom<(keyof typeof attempts)[]>('w', 'r', 's', 'c').map((route) => ({ kind: 'request' as const, route })),
  },
  { weight: 8, arbitrary: pick.map((one) => ({ kind: 'replica' as const, pick: one })) },
  { weight: 1, arbitrary: fc.constant({ kind: 'time' as const }) },
  { weight: 1, arbitrary: pick.map((one) => ({ kind: 'leave' as const, pick: one })) },
  { weight: 1, arbitrary: pick.map((one) => ({ kind: 'drain' as const, pick: one })) },
);

function judge(played: Played): void {
  for (const { id, route, heads, seals, body, ends, left, done } of played.clients) {
    const ran = played.ledger.ran.get(id) ?? 0;
    expect(done).toEqual(true);
    // At most one response, and its own: every body names the request that it answers.
    expect(heads.length <= 1 && ends <= 1).toEqual(true);
    if (!left) expect(ends).toEqual(1);
    const [status = 0] = heads;
    if (status === 200 || status === 500) {
      const named = [...body.matchAll(/[wrsc]-\d+/g)].map(([one]) => one);
      expect(named.every((one) => one === id)).toEqual(true);
      // A whole body is one run's alone.
      if (route === 'w' || route === 'r') expect(/^[wrsc]-\d+(#\d+)?$/.test(body)).toEqual(true);
      if (status === 200) expect(seals).toEqual([`of-${id}`]);
      expect(ran > 0).toEqual(true);
    }
    // Events come once each, in their order.
    if (status === 200 && (route === 's' || route === 'c')) {
      const events = [...body.matchAll(/id: (\d+)/g)].map(([, number]) => Number(number));
      expect(events).toEqual([1, 2, 3].slice(0, events.length));
    }
    if (route === 'w' || route === 's') expect(ran <= 1).toEqual(true);
    if (promises.has(status)) expect(ran).toEqual(0);
    expect((played.ledger.read.get(id) ?? 0) <= attempts[route]).toEqual(true);
  }
  // The budget's first allowance, and its share of all requests.
  const { 'exchange.silent': silent = 0 } = played.counters.all();
  expect(silent <= 10 + played.clients.length * 0.2).toEqual(true);
  expect(played.running).toEqual(0);
}

describe('a replica that is silent', () => {
  const played = async (route: keyof typeof attempts, script: readonly Behaviour[], steps: readonly Step[]) => {
    const one = new Played(script, false);
    await one.play([{ kind: 'request', route }, ...steps]);
    return one;
  };

  it('loses a request that may be repeated long before its deadline, and no other one', async () => {
    for (const route of ['r', 'c'] as const) {
      const { clients, ledger, clock } = await played(route, ['mute'], []);
      expect(clients[0]?.heads).toEqual([200]);
      expect(clock.nowMs() < deadlineMs / 2).toEqual(true);
      expect(ledger.read.get(`${route}-0`)).toEqual(2);
    }
    for (const route of ['w', 's'] as const) {
      const { clients, ledger, clock } = await played(route, ['mute'], []);
      expect(clients[0]?.heads).toEqual([504]);
      expect(clock.nowMs()).toEqual(deadlineMs);
      expect(ledger.read.get(`${route}-0`)).toEqual(1);
    }
  });

  it('loses no more of them than the retry budget allows', async () => {
    const all = 40;
    const requests = Array.from({ length: all - 1 }, () => ({ kind: 'request' as const, route: 'r' as const }));
    const { counters } = await played(
      'r',
      Array.from({ length: 2 * all }, () => 'mute' as const),
      requests,
    );
    const { 'exchange.silent': silent = 0 } = counters.all();
    expect(silent > 0 && silent <= 10 + all * 0.2).toEqual(true);
  });
});

describe('exchanges with replicas that fail in any way, in any order', () => {
  it('give each client its own response at most once, and run what may not be repeated at most once', async () => {
    const seen = new Map<string, number>();
    await fc.assert(
      fc.asyncProperty(
        fc.array(behaviour, { maxLength: 12 }),
        fc.array(step, { minLength: 5, maxLength: 60 }),
        fc.boolean(),
        async (script, steps, slowReaders) => {
          const played = new Played(script, slowReaders);
          await played.play([{ kind: 'request', route: 'w' }, ...steps]);
          for (const { heads, route } of played.clients) seen.set(`${route} ${heads[0]}`, (seen.get(`${route} ${heads[0]}`) ?? 0) + 1);
          judge(played);
        },
      ),
      { numRuns: 300, ...(drawnBy === undefined ? {} : { seed: Number(drawnBy) }) },
    );
    // The drawn cases are no use if they all end alike.
    for (const outcome of ['w 200', 'w 502', 'w 503', 'r 200', 's 200', 'c 200']) expect((seen.get(outcome) ?? 0) > 0).toEqual(true);
  });
});
