import { connect, createServer } from 'node:net';
import type { Server } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { decode, encode } from 'cbor-x';
import { expect } from 'earl';
import * as v from 'valibot';
import { Address, addressParts } from '@pewterlanding/model';
import { Counters, defineCall, FrameReader, SystemClock, TcpTransport, TransportError } from '../src/index.js';

const echo = defineCall('echo', v.strictObject({ text: v.string() }), v.strictObject({ text: v.string() }));
const never = defineCall('never', v.strictObject({}), v.strictObject({}));

const open: TcpTransport[] = [];
afterEach(() => open.splice(0).forEach((transport) => transport.close()));

async function freeAddress(): Promise<Address> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const bound = server.address();
  await new Promise((resolve) => server.close(resolve));
  return v.parse(Address, `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`);
}

async function transportAt(fleet: string): Promise<{ readonly transport: TcpTransport; readonly counters: Counters }> {
  const here = await freeAddress();
  const counters = new Counters();
  const transport = new TcpTransport({
    here,
    listen: here,
    fleet,
    clock: new SystemClock(),
    counters,
    bounds: { maxFrameBytes: 10_000, dialMs: 50 },
  });
  transport.serve(echo, async (body) => body);
  transport.serve(never, () => new Promise(() => undefined));
  await transport.listen();
  open.push(transport);
  return { transport, counters };
}

/** Writes raw bytes to a transport and resolves when it closes the connection. */
function raw(to: Address, bytes: Uint8Array): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect({ host: '127.0.0.1', port: Number(to.split(':')[1]) });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
    socket.resume();
    socket.write(bytes);
  });
}

/** A frame as it is on the wire: a length of four bytes, then CBOR. */
function frameOf(message: unknown): Buffer {
  const payload = encode(message);
  const lengthPrefix = Buffer.alloc(4);
  lengthPrefix.writeUInt32BE(payload.length, 0);
  return Buffer.concat([lengthPrefix, payload]);
}

async function listeningAddress(server: Server): Promise<Address> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const bound = server.address();
  return v.parse(Address, `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`);
}

function refusals(counters: Counters): Readonly<Record<string, number>> {
  return {
    all: counters.get('wire.turnedAway'),
    otherFleet: counters.get('wire.otherFleet'),
    otherVersion: counters.get('wire.otherVersion'),
    unreadable: counters.get('wire.unreadable'),
  };
}

describe('the TCP transport', () => {
  it('resolves with the response and rejects when there is none or the connection is lost', async () => {
    const a = await transportAt('one');
    const b = await transportAt('one');
    expect(await a.transport.ask(b.transport.here, echo, { text: 'x' }, 1000)).toEqual({ text: 'x' });
    await expect(a.transport.ask(b.transport.here, never, {}, 20)).toBeRejectedWith(TransportError, /no return/);
    const waiting = a.transport.ask(b.transport.here, never, {}, 10_000);
    b.transport.close();
    await expect(waiting).toBeRejectedWith(TransportError, /lost/);
    await expect(a.transport.ask(b.transport.here, echo, { text: 'x' }, 1000)).toBeRejectedWith(TransportError);
  });

  it('opens a new connection where one received nothing for long, as to a machine that lost its power', async () => {
    const a = await transportAt('one');
    const silent = createServer();
    silent.unref();
    let dials = 0;
    silent.on('connection', (socket) => {
      dials += 1;
      socket.on('error', () => undefined).resume();
    });
    await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve));
    const bound = silent.address();
    const there = v.parse(Address, `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`);
    // A request with a short time limit does not show that the connection is dead.
    await expect(a.transport.ask(there, echo, { text: 'x' }, 5)).toBeRejectedWith(TransportError, /no return/);
    await expect(a.transport.ask(there, echo, { text: 'x' }, 60)).toBeRejectedWith(TransportError, /no return/);
    await expect(a.transport.ask(there, echo, { text: 'x' }, 5)).toBeRejectedWith(TransportError, /no return/);
    silent.close();
    expect([dials, a.counters.all()['wire.abandoned']]).toEqual([2, 1]);
  });

  it('closes the connection of another fleet or with an oversized or unreadable frame, counts it, and goes on serving', async () => {
    const a = await transportAt('one');
    const stranger = await transportAt('two');
    await expect(stranger.transport.ask(a.transport.here, echo, { text: 'x' }, 1000)).toBeRejectedWith(TransportError);
    await raw(a.transport.here, new Uint8Array([0x7f, 0xff, 0xff, 0xff]));
    await raw(a.transport.here, new Uint8Array([0, 0, 0, 2, 0xff, 0xff]));
    await raw(a.transport.here, new TextEncoder().encode('GET / HTTP/1.1\r\n\r\n'));
    expect(a.counters.get('wire.turnedAway') + stranger.counters.get('wire.turnedAway') >= 1).toEqual(true);
    expect(a.counters.get('wire.unreadable')).toEqual(3);
    const b = await transportAt('one');
    expect(await b.transport.ask(a.transport.here, echo, { text: 'still' }, 1000)).toEqual({ text: 'still' });
    await expect(b.transport.ask(a.transport.here, echo, { text: 'x'.repeat(20_000) }, 1000)).toBeRejectedWith(TransportError, /not sent/);
  });

  it('refuses a peer of another transport version, whichever side connects, and counts it by its cause', { timeout: 10_000 }, async () => {
    const a = await transportAt('one');
    const version1 = frameOf({ fleet: 'one', version: 1, from: '127.0.0.1:1' });
    await raw(a.transport.here, version1);
    expect(refusals(a.counters)).toEqual({ all: 1, otherFleet: 0, otherVersion: 1, unreadable: 0 });
    const server = createServer(
      (socket) =>
        void socket
          .on('error', () => undefined)
          .resume()
          .write(version1),
    );
    server.unref();
    const there = await listeningAddress(server);
    await expect(a.transport.ask(there, echo, { text: 'x' }, 10_000)).toBeRejectedWith(TransportError, /lost/);
    server.close();
    expect(refusals(a.counters)).toEqual({ all: 2, otherFleet: 0, otherVersion: 2, unreadable: 0 });
  });

  it('refuses a peer of another fleet and counts it by its cause', { timeout: 10_000 }, async () => {
    const a = await transportAt('one');
    await raw(a.transport.here, frameOf({ fleet: 'two', version: 2, from: '127.0.0.1:1' }));
    expect(refusals(a.counters)).toEqual({ all: 1, otherFleet: 1, otherVersion: 0, unreadable: 0 });
  });

  it('answers a peer of its own fleet and version', { timeout: 10_000 }, async () => {
    const a = await transportAt('one');
    const { host, port } = addressParts(a.transport.here);
    const socket = connect({ host, port });
    const reader = new FrameReader(10_000);
    const received: unknown[] = [];
    const response = new Promise<void>((resolve) => {
      socket.on('data', (chunk: Buffer) => {
        received.push(...reader.push(chunk).map((payload): unknown => decode(payload)));
        if (received.length === 2) resolve();
      });
    });
    socket.write(frameOf({ fleet: 'one', version: 2, from: '127.0.0.1:1' }));
    socket.write(frameOf({ kind: 'ask', slot: 3, gen: 4, call: 'echo', body: { text: 'x' } }));
    await response;
    socket.destroy();
    expect(received).toEqual([
      { fleet: 'one', version: 2, from: String(a.transport.here) },
      { kind: 'back', slot: 3, gen: 4, body: { text: 'x' } },
    ]);
    expect(refusals(a.counters)).toEqual({ all: 0, otherFleet: 0, otherVersion: 0, unreadable: 0 });
  });
});
