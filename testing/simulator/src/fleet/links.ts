import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import type { Address } from '@pewterlanding/model';
import { addressParts } from '@pewterlanding/model';
import type { Link } from './link.js';
import { LinkProxy } from './linkProxy.js';

const passing: Link = { kind: 'pass', delayMs: 0 };

/**
 * Relays between the machines of a real fleet, run by the harness: each process is dialled at a relay, which knows by the
 * dialler's IP number whose bytes they are, so that each directed pair of machines has a link of its own.
 */
export class Links {
  readonly #servers: Server[] = [];
  readonly #sockets = new Set<Socket>();
  readonly #proxies = new Map<string, Set<LinkProxy>>();
  readonly #links = new Map<string, Link>();
  readonly #touched = new Map<string, number>();

  /** Relays what is dialled at `at` to the process that listens at `to`, on the same machine. */
  async relay(at: Address, to: Address): Promise<void> {
    const server = createServer((socket) => this.#adopt(socket, to));
    this.#servers.push(server);
    const { host, port } = addressParts(at);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  /** Sets how bytes go from one machine to another; the way back is a link of its own. */
  set(fromHost: string, toHost: string, link: Link): void {
    const key = `${fromHost}>${toHost}`;
    this.#links.set(key, link);
    for (const proxy of this.#proxies.get(key) ?? []) proxy.pump();
  }

  heal(): void {
    const keys = [...this.#links.keys()];
    this.#links.clear();
    for (const key of keys) for (const proxy of this.#proxies.get(key) ?? []) proxy.pump();
  }

  /** How often a link held back, delayed or broke something: the evidence that a cut took hold. */
  touched(fromHost: string, toHost: string): number {
    return this.#touched.get(`${fromHost}>${toHost}`) ?? 0;
  }

  close(): void {
    for (const server of this.#servers) server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #adopt(near: Socket, to: Address): void {
    const { host, port } = addressParts(to);
    const dialler = near.remoteAddress ?? '';
    const far = connect({ host, port, localAddress: dialler });
    for (const [socket, other] of [
      [near, far],
      [far, near],
    ] as const) {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        this.#sockets.delete(socket);
        // While the link stalls, the other end cannot know that this one is gone.
        if (this.#of(dialler, host).kind === 'pass' && this.#of(host, dialler).kind === 'pass') other.destroy();
        else setTimeout(() => other.destroy(), 15_000).unref();
      });
    }
    this.#proxy(near, far, dialler, host);
    this.#proxy(far, near, host, dialler);
  }

  #proxy(from: Socket, to: Socket, fromHost: string, toHost: string): void {
    const key = `${fromHost}>${toHost}`;
    const touched = (): void => void this.#touched.set(key, (this.#touched.get(key) ?? 0) + 1);
    const proxy = new LinkProxy(from, to, () => this.#of(fromHost, toHost), touched);
    const proxies = this.#proxies.get(key) ?? new Set();
    this.#proxies.set(key, proxies.add(proxy));
    from.on('close', () => proxies.delete(proxy));
    proxy.pump();
  }

  #of(fromHost: string, toHost: string): Link {
    return this.#links.get(`${fromHost}>${toHost}`) ?? passing;
  }
}
