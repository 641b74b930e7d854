import { connect, createServer } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Address } from '@pewterlanding/model';
import { Counters, defineCall, SystemClock, TcpTransport, TransportError } from '../src/index.js';

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

/** Writes raw bytes to a wire and resolves when it closes the circuit. */
function raw(to: Address, bytes: Uint8Array): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect({ host: '127.0.0.1', port: Number(to.split(':')[1]) });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
    socket.resume();
    socket.write(bytes);
  });
}

describe('the wire', () => {
  it('brings returns, refusals and silence back to who asked', async () => {
    const a = await transportAt('one');
    const b = await transportAt('one');
    expect(await a.transport.ask(b.transport.here, echo, { text: 'x' }, 1000)).toEqual({ text: 'x' });
    await expect(a.transport.ask(b.transport.here, never, {}, 20)).toBeRejectedWith(TransportError, /no return/);
    const waiting = a.transport.ask(b.transport.here, never, {}, 10_000);
    b.transport.close();
    await expect(waiting).toBeRejectedWith(TransportError, /lost/);
    await expect(a.transport.ask(b.transport.here, echo, { text: 'x' }, 1000)).toBeRejectedWith(TransportError);
  });

  it('dials anew where a circuit brought nothing for long, as one to a machine that lost its power', async () => {
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
    // A short wait alone proves nothing of the circuit.
    await expect(a.transport.ask(there, echo, { text: 'x' }, 5)).toBeRejectedWith(TransportError, /no return/);
    await expect(a.transport.ask(there, echo, { text: 'x' }, 60)).toBeRejectedWith(TransportError, /no return/);
    await expect(a.transport.ask(there, echo, { text: 'x' }, 5)).toBeRejectedWith(TransportError, /no return/);
    silent.close();
    expect([dials, a.counters.all()['wire.abandoned']]).toEqual([2, 1]);
  });

  it('closes a circuit of another fleet, an oversized or an unreadable frame, counts it, and lives on', async () => {
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
});
