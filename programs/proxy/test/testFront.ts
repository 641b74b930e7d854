import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect } from 'node:net';
import * as v from 'valibot';
import { Limits, NodeName, Configuration } from '@pewterlanding/model';
import { Counters, SystemClock } from '@pewterlanding/runtime';
import type { Update } from '@pewterlanding/membership';
import {
  ReplicaSelector,
  ConnectionPool,
  RoutingState,
  defaultHeaderNames,
  ProxyHandler,
  proxyServer,
  InFlightCounts,
} from '../src/index.js';

/** What a stand-in replica does with the nth task it gets, on the bare socket. */
type Act = (socket: Socket, head: string, nth: number) => void;

interface StandIn {
  readonly address: string;
  readonly heads: string[];
  /** Once a connection has been closed by the other side. */
  readonly closed: Promise<void>;
}

const routes = {
  whole: { host: 'a.example', prefix: '/w/', kind: 'whole', idempotent: false, attempts: 2, services: [{ service: 's', weight: 1 }] },
  again: { host: 'a.example', prefix: '/r/', kind: 'whole', idempotent: true, attempts: 2, services: [{ service: 's', weight: 1 }] },
  stream: { host: 'a.example', prefix: '/s/', kind: 'streamed', attempts: 2, services: [{ service: 's', weight: 1 }] },
  resume: { host: 'a.example', prefix: '/c/', kind: 'streamed', resumable: true, attempts: 3, services: [{ service: 's', weight: 1 }] },
};

/** One front in this process, with stand-in replicas on this machine: bounded by the tasks that a test sends. */
export class TestFront {
  readonly counters = new Counters();
  readonly connections = new ConnectionPool({ connectMs: 1000, idleMs: 4000, idHeader: defaultHeaderNames.task });
  readonly routingState: RoutingState;
  readonly #servers: Server[] = [];
  #port = 0;
  #proxyHandler: ProxyHandler | undefined;
  #updates: readonly Update[] = [];
  #downstream: Socket | undefined;

  constructor() {
    this.routingState = new RoutingState({ front: v.parse(NodeName, 'front-1'), instance: 'l', clock: new SystemClock() });
  }

  static async open(...replicas: readonly Act[]): Promise<TestFront & { readonly standIns: readonly StandIn[] }> {
    const front = await TestFront.starting(0, ...replicas);
    front.learn();
    return front;
  }

  /** A front that knows nothing until it is told to learn. */
  static async starting(startMs: number, ...replicas: readonly Act[]): Promise<TestFront & { readonly standIns: readonly StandIn[] }> {
    const front = new TestFront();
    const standIns = await Promise.all(replicas.map((act) => front.#standIn(act)));
    const configuration = v.parse(Configuration, {
      services: { s: { kind: 'whole', idempotent: false, replicas: { maxSlots: 16 }, connections: 64 } },
      quotas: {},
      routes,
      joining: true,
    });
    const updates: Update[] = [{ key: 'setup', version: [1, 0], volatile: false, value: { version: 1, configuration } }];
    standIns.forEach(({ address }, at) => {
      const value = { service: 's', address, slots: 4, incarnation: 1, instance: `life-${at}`, state: 'serving' };
      updates.push({ key: `replica/s/life-${at}`, version: [1, 0], volatile: false, value });
    });
    front.#updates = updates;
    await front.#listen(startMs);
    return Object.assign(front, { standIns });
  }

  learn(): void {
    this.routingState.apply(this.#updates);
    this.#proxyHandler?.look();
  }

  /** Tasks held until this front has learned. */
  get held(): number {
    return this.#proxyHandler?.held ?? 0;
  }

  async close(): Promise<void> {
    await this.connections.close();
    for (const server of this.#servers) server.close();
  }

  /** Sends one task and gives all bytes that came until the connection ended. */
  send(path: string, id: string, more = ''): Promise<string> {
    const head = `POST ${path} HTTP/1.1\r\nHost: A.example:80\r\ntask-id: ${id}\r\nexpiry-ms: 5000\r\nconnection: close\r\n${more}`;
    return this.raw(`${head}content-length: 2\r\n\r\nhi`);
  }

  raw(text: string): Promise<string> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      const socket = connect(this.#port, '127.0.0.1');
      this.#downstream = socket;
      socket.on('data', (chunk) => chunks.push(chunk));
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')));
      socket.write(text);
    });
  }

  /** The newest downstream leaves. */
  leave(): void {
    this.#downstream?.destroy();
  }

  #standIn(act: Act): Promise<StandIn> {
    const heads: string[] = [];
    let closed = (): void => undefined;
    const whenClosed = new Promise<void>((resolve) => (closed = resolve));
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('close', () => closed());
      let held = '';
      socket.on('data', (chunk) => {
        held += chunk.toString('latin1');
        const end = held.indexOf('\r\n\r\n');
        if (end < 0 || held.length < end + 6) return;
        const head = held.slice(0, end);
        held = held.slice(end + 6);
        heads.push(head);
        act(socket, head, heads.length);
      });
    });
    this.#servers.push(server);
    return new Promise((resolve) =>
      server.listen(0, '127.0.0.1', () => resolve({ address: `127.0.0.1:${portOf(server)}`, heads, closed: whenClosed })),
    );
  }

  async #listen(startMs: number): Promise<void> {
    const { routingState, counters, connections } = this;
    const clock = new SystemClock();
    const random = (): number => 0;
    const zone = 'z';
    const tables = () => routingState.tables;
    const selector = new ReplicaSelector({
      clock,
      random,
      zone,
      tables,
      inFlight: new InFlightCounts(),
      hasIdleConnection: (key) => connections.hasIdle(key),
      counters,
    });
    const proxyHandler = new ProxyHandler({
      clock,
      routingState,
      selector,
      connections,
      headerNames: defaultHeaderNames,
      counters,
      startMs,
    });
    this.#proxyHandler = proxyHandler;
    const { serverFactory, clientErrorHandler } = proxyServer({
      proxyHandler,
      counters,
      own: () => false,
      leaving: () => false,
      limits: () => routingState.tables.configuration?.limits ?? v.parse(Limits, {}),
    });
    const server = serverFactory(() => undefined);
    server.on('clientError', clientErrorHandler);
    this.#servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()));
    this.#port = portOf(server);
  }
}

function portOf(server: { address(): AddressInfo | string | null }): number {
  const address = server.address();
  return address === null || typeof address === 'string' ? 0 : address.port;
}
