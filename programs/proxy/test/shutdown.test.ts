import { after, describe, it } from 'node:test';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { expect } from 'earl';
import { addressParts } from '@pewterlanding/model';
import { StartedProxy } from './support/startedProxy.js';
import { RawClient } from './support/rawClient.js';

const graceMs = 3000;
const replicaMs = 300;
/** Responses take different times, so that some request is always in flight. */
const replicaStepMs = 40;

const head = (id: string): string => `HTTP/1.1 200 OK\r\ntask-id: ${id}\r\nseal: x\r\n`;

function respondLater(socket: Socket, id: string): void {
  const steps = Number(id.replace(/\D/g, '')) % 8;
  setTimeout(() => socket.write(`${head(id)}content-length: 2\r\n\r\nok`), replicaMs + steps * replicaStepMs);
}

/** Sends the head and one event at once, the rest of the stream later. */
function streamSlowly(socket: Socket, id: string): void {
  const event = (number: number): string => `id: ${number}\ndata: a\n\n`;
  const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
  socket.write(`${head(id)}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n${chunk(event(0))}`);
  setTimeout(() => socket.write(`${chunk(event(1))}0\r\n\r\n`), replicaMs);
}

/** Requests whose connection ended without a response, though they had reached the replica. */
class GivenUp {
  readonly ids: string[] = [];
  answered = 0;
  #count = 0;

  /** Sends one request; true when the client may go on. */
  async send(proxy: StartedProxy, client: RawClient, path: string): Promise<boolean> {
    this.#count += 1;
    const id = `request-${this.#count}`;
    const ending = await client.send(path, id);
    if (ending.kind === 'response' && ending.status === 200) this.answered += 1;
    if (ending.kind === 'closed' && (ending.bytes > 0 || proxy.reached.has(id))) this.ids.push(id);
    return ending.kind === 'response';
  }
}

/** Resolves once the proxy accepts no connection any more. */
async function untilRefused({ http }: StartedProxy): Promise<void> {
  const { host, port } = addressParts(http);
  const isRefused = (): Promise<boolean> =>
    new Promise((resolve) => {
      const socket = connect({ host, port });
      socket.once('connect', () => resolve(false));
      socket.once('connect', () => socket.destroy());
      socket.once('error', () => resolve(true));
    });
  while (!(await isRefused()));
}

describe('a proxy that is told to end', () => {
  const opened: StartedProxy[] = [];
  const start = async (respond: (socket: Socket, id: string) => void): Promise<StartedProxy> => {
    const proxy = await StartedProxy.start(graceMs, respond);
    opened.push(proxy);
    return proxy;
  };
  after(() => opened.forEach((proxy) => proxy.close()));

  it('gives up no request while clients keep opening connections', async () => {
    const proxy = await start(respondLater);
    const givenUp = new GivenUp();
    const untilRefused = async (): Promise<void> => {
      for (;;) {
        const client = new RawClient(proxy.http);
        const answered = await givenUp.send(proxy, client, '/w/');
        client.close();
        if (!answered) return;
      }
    };
    const clients = Array.from({ length: 8 }, untilRefused);
    const startMs = Date.now();
    await proxy.leave(graceMs);
    const tookMs = Date.now() - startMs;
    await Promise.all(clients);
    expect(givenUp.ids).toEqual([]);
    expect(givenUp.answered).toBeGreaterThan(clients.length);
    // Not by waiting for the end of the grace period.
    expect(tookMs).toBeLessThan(graceMs * 0.8);
  });

  it('gives up no request on connections that were open before', async () => {
    const proxy = await start(respondLater);
    const givenUp = new GivenUp();
    const clients = Array.from({ length: 48 }, () => new RawClient(proxy.http));
    await Promise.all(clients.map((client) => givenUp.send(proxy, client, '/w/')));
    // Each client uses its idle connection again, one after the other until the process is gone.
    const uses = clients.map(
      (client, position) =>
        new Promise((used) => setTimeout(() => used(givenUp.send(proxy, client, '/w/')), (graceMs * position) / clients.length)),
    );
    const startMs = Date.now();
    await proxy.leave(graceMs);
    const tookMs = Date.now() - startMs;
    await Promise.all(uses);
    clients.forEach((client) => client.close());
    expect(givenUp.ids).toEqual([]);
    expect(givenUp.answered).toBeGreaterThan(clients.length);
    expect(tookMs).toBeLessThan(graceMs * 0.8);
  });

  it('gives up no request that follows a stream on its connection', async () => {
    const proxy = await start(streamSlowly);
    const givenUp = new GivenUp();
    const untilClosed = async (): Promise<void> => {
      const client = new RawClient(proxy.http);
      while (!client.isOver && (await givenUp.send(proxy, client, '/s/')));
      client.close();
    };
    const clients = Array.from({ length: 8 }, untilClosed);
    await proxy.leave(graceMs);
    await Promise.all(clients);
    expect(givenUp.ids).toEqual([]);
    expect(givenUp.answered).toBeGreaterThan(0);
  });

  it('closes no connection before a client that reads slowly has the whole response', async () => {
    const bytes = 24 << 20;
    const proxy = await start((socket, id) => {
      socket.write(`${head(id)}content-length: ${bytes}\r\n\r\n`);
      socket.write(Buffer.alloc(bytes, 'x'));
    });
    const client = new RawClient(proxy.http);
    client.pause();
    const ending = client.send('/w/', 'large');
    // Long after the platform has taken the proxy out, and well inside the grace period.
    setTimeout(() => client.resume(), graceMs / 2);
    await proxy.leave(graceMs);
    expect(await ending).toEqual({ kind: 'response', status: 200 });
    client.close();
  });

  it('answers a request that is still at its replica when the grace period ends', async () => {
    const shortMs = 600;
    const proxy = await start(() => undefined);
    const client = new RawClient(proxy.http);
    const ending = client.send('/w/', 'late');
    await proxy.untilReached('late');
    await proxy.leave(shortMs);
    expect(await ending).toEqual({ kind: 'response', status: 504 });
    client.close();
  });

  it('refuses a request behind a stream once it has stopped accepting, and never runs it', async () => {
    let endStream = (): void => undefined;
    const proxy = await start((socket, id) => {
      socket.write(`${head(id)}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 0\ndata: abc\n\n\r\n`);
      endStream = () => socket.write('0\r\n\r\n');
    });
    const client = new RawClient(proxy.http);
    const text = client.untilClosed();
    client.write('/s/', 'stream');
    await client.untilReceived('data: abc');
    const left = proxy.leave(graceMs);
    await untilRefused(proxy);
    client.write('/w/', 'second');
    client.write('/w/', 'third');
    await client.untilFlushed();
    endStream();
    const [, ofStream, ofSecond, ...others] = (await text).split('HTTP/1.1 ');
    expect([ofStream?.slice(0, 3), ofStream?.endsWith('0\r\n\r\n'), ofSecond?.slice(0, 3), others]).toEqual(['200', true, '503', []]);
    expect([...proxy.reached]).toEqual(['stream']);
    await left;
  });
});
