import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import * as v from 'valibot';
import { agentCalls, updateKeys } from '@pewterlanding/agent';
import type { Update } from '@pewterlanding/membership';
import { Address, Configuration } from '@pewterlanding/model';
import { BootSettings, Counters, SystemClock, TcpTransport } from '@pewterlanding/runtime';
import type { Running } from '@pewterlanding/runtime';
import { serveProxyHttp, startProxy } from '../../src/index.js';

/** What the stand-in replica does with a request. */
type Respond = (socket: Socket, id: string) => void;

const host = '127.0.0.1';
const maxResponseBytes = 64 << 20;
const routes = {
  whole: { host: 'a.example', prefix: '/w/', kind: 'whole', idempotent: false, attempts: 1, services: [{ service: 's', weight: 1 }] },
  stream: { host: 'a.example', prefix: '/s/', kind: 'streamed', attempts: 1, services: [{ service: 's', weight: 1 }] },
};

/** A proxy as `startProxy` makes it, with a stand-in for its agent and one stand-in replica, on loopback addresses. */
export class StartedProxy {
  readonly http: Address;
  /** Ids of the requests that reached the replica. */
  readonly reached = new Set<string>();
  readonly #awaited = new Map<string, () => void>();
  readonly #running: Running;
  readonly #agent: TcpTransport;
  readonly #replica: Server;

  private constructor(http: Address, running: Running, agent: TcpTransport, replica: Server) {
    this.http = http;
    this.#running = running;
    this.#agent = agent;
    this.#replica = replica;
  }

  static async start(graceMs: number, respond: Respond): Promise<StartedProxy> {
    const [listen, http, beside] = [await freeAddress(), await freeAddress(), await freeAddress()];
    const boot = { fleet: 'test', name: 'front-1', zone: 'z', listen, http, beside, seeds: [beside], graceMs, logLevel: 'silent' };
    const bootSettings = v.parse(BootSettings, boot);
    const agent = new TcpTransport({ here: beside, listen: beside, fleet: 'test', clock: new SystemClock(), counters: new Counters() });
    for (const call of [agentCalls.tell, agentCalls.leave, agentCalls.settle]) agent.serve(call, async () => ({}));
    await agent.listen();
    const running = await startProxy({ bootSettings, http, beside, serve: serveProxyHttp(http) });
    const replica = createServer();
    const proxy = new StartedProxy(http, running, agent, replica);
    replica.on('connection', (socket) => proxy.#serveReplica(socket, respond));
    const address = await listening(replica);
    await agent.ask(listen, agentCalls.feed, { whole: true, updates: updatesOf(address) }, 5000);
    return proxy;
  }

  /** Tells the proxy to end, as a signal does; resolves once it has. */
  leave(graceMs: number): Promise<void> {
    return this.#running.leave(graceMs);
  }

  /** Resolves once a request has reached the replica. */
  untilReached(id: string): Promise<void> {
    if (this.reached.has(id)) return Promise.resolve();
    return new Promise((resolve) => this.#awaited.set(id, resolve));
  }

  close(): void {
    this.#agent.close();
    this.#replica.close();
  }

  #serveReplica(socket: Socket, respond: Respond): void {
    let received = '';
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      if (!received.endsWith('\r\n\r\nhi')) return;
      const id = /task-id: (\S+)/i.exec(received)?.[1] ?? '';
      received = '';
      this.reached.add(id);
      this.#awaited.get(id)?.();
      respond(socket, id);
    });
  }
}

function updatesOf(address: Address): Update[] {
  const configuration = v.parse(Configuration, {
    services: { s: { kind: 'whole', idempotent: false, replicas: { maxSlots: 64 }, connections: 64, maxReturnBytes: maxResponseBytes } },
    quotas: {},
    routes,
    joining: true,
  });
  const replica = { service: 's', address, slots: 64, incarnation: 1, instance: 'one', state: 'serving' };
  const update = (key: string, value: unknown): Update => ({ key, version: [1, 0], volatile: false, value });
  return [update(updateKeys.configuration, { version: 1, configuration }), update(updateKeys.replica('s', 'one'), replica)];
}

async function freeAddress(): Promise<Address> {
  const server = createServer();
  const address = await listening(server);
  await new Promise((resolve) => server.close(resolve));
  return address;
}

function listening(server: Server): Promise<Address> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => {
      const bound = server.address();
      resolve(v.parse(Address, typeof bound === 'object' ? `${host}:${bound?.port}` : bound));
    });
  });
}
