import { describe, it } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { expect } from 'earl';
import { HttpDrain } from '../src/index.js';

interface Started {
  readonly server: Server;
  readonly drain: HttpDrain;
  readonly port: number;
}

async function start(handle: RequestListener): Promise<Started> {
  const drain = new HttpDrain();
  const server = createServer(handle);
  drain.attach(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  return { server, drain, port: address === null || typeof address === 'string' ? 0 : address.port };
}

const request = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;

/** Resolves with all bytes once the connection has ended. */
function received(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')));
  });
}

const closed = (server: Server): Promise<unknown> => new Promise((resolve) => server.once('close', resolve));

describe('HttpDrain', () => {
  it('closes idle connections at once, and others after their response', async () => {
    let hasArrived = (): void => undefined;
    const arrived = new Promise<void>((resolve) => (hasArrived = resolve));
    let answer = (): void => undefined;
    const { server, drain, port } = await start((_request, response) => {
      answer = () => response.writeHead(200, { 'content-length': 4 }).end('late');
      hasArrived();
    });
    const idle = connect(port, '127.0.0.1');
    await new Promise((resolve) => idle.once('connect', resolve));
    const busy = connect(port, '127.0.0.1');
    const [ofIdle, ofBusy] = [received(idle), received(busy)];
    busy.write(request('/'));
    await arrived;
    expect(drain.openRequests).toEqual(1);
    drain.begin();
    expect(await ofIdle).toEqual('');
    expect(busy.destroyed).toEqual(false);
    answer();
    expect((await ofBusy).endsWith('\r\n\r\nlate')).toEqual(true);
    await closed(server);
    expect(drain.openRequests).toEqual(0);
  });

  it('refuses connections from then on', async () => {
    const { drain, port } = await start((_request, response) => response.end());
    drain.begin();
    const refused = connect(port, '127.0.0.1');
    const code = await new Promise((resolve) => refused.once('error', (error) => resolve('code' in error ? error.code : '')));
    expect(code).toEqual('ECONNREFUSED');
  });

  it('counts a response as open until the client has been sent the whole of it', async () => {
    const bytes = 16 << 20;
    let isEnded = (): void => undefined;
    const responded = new Promise<void>((resolve) => (isEnded = resolve));
    const { server, drain, port } = await start((_request, response) => {
      response.writeHead(200, { 'content-length': bytes });
      response.end(Buffer.alloc(bytes, 'x'));
      isEnded();
    });
    const slow = connect(port, '127.0.0.1');
    slow.write(request('/'));
    await responded;
    drain.begin();
    expect(drain.openRequests).toEqual(1);
    expect((await received(slow)).split('\r\n\r\n')[1]?.length).toEqual(bytes);
    await closed(server);
  });

  it('forgets the requests of a connection that its client broke', async () => {
    let arrived = (): void => undefined;
    const both = new Promise<void>((resolve) => (arrived = resolve));
    const { server, drain, port } = await start(() => arrived());
    const client = connect(port, '127.0.0.1');
    client.write(request('/1') + request('/2'));
    await both;
    drain.begin();
    client.destroy();
    await closed(server);
    // The server is closed before its last connection says so.
    while (drain.openRequests > 0) await setImmediate();
  });
});
