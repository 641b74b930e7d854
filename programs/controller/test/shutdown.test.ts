import { mkdtemp, rm } from 'node:fs/promises';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import * as v from 'valibot';
import { Address, addressParts } from '@pewterlanding/model';
import { BootSettings } from '@pewterlanding/runtime';
import { startController } from '../src/index.js';

const slowMs = 600;
const graceMs = 6000;

function freeAddress(): Promise<Address> {
  const server = createServer();
  return new Promise((resolve) =>
    server.listen(0, '127.0.0.1', () => {
      const bound = server.address();
      const address = v.parse(Address, typeof bound === 'object' ? `127.0.0.1:${bound?.port}` : bound);
      server.close(() => resolve(address));
    }),
  );
}

function isRefused(http: Address): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(addressParts(http));
    socket.once('connect', () => resolve(false));
    socket.once('error', () => resolve(true));
  });
}

/** An interface with one call that takes some time; `begun` once it has been received. */
function slowInterface(begun: () => void): FastifyInstance {
  const app = Fastify({ forceCloseConnections: true });
  app.get('/slow', async () => {
    begun();
    await new Promise((resolve) => setTimeout(resolve, slowMs));
    return 'whole';
  });
  return app;
}

describe('a controller that is told to end', () => {
  it('answers the calls in flight, and takes no further ones', async () => {
    const dataFolder = await mkdtemp(join(tmpdir(), 'controller-'));
    const [listen, http] = [await freeAddress(), await freeAddress()];
    const boot = { fleet: 'test', name: 'controller-1', zone: 'z', listen, http, seeds: [listen], dataFolder, failureTimeoutMs: 50 };
    const bootSettings = v.parse(BootSettings, { ...boot, heartbeatMs: 10, bootstrap: true, logLevel: 'silent' });
    let begun = (): void => undefined;
    const received = new Promise<void>((resolve) => (begun = resolve));
    const running = await startController({ bootSettings, http, dataFolder, serve: () => slowInterface(() => begun()) });
    const answer = fetch(`http://${http}/slow`);
    await received;
    const left = running.leave(graceMs);
    const response = await answer;
    expect([response.status, await response.text()]).toEqual([200, 'whole']);
    await left;
    expect(await isRefused(http)).toEqual(true);
    await rm(dataFolder, { recursive: true });
  });
});
