import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Address } from '@pewterlanding/model';
import { SystemClock } from '@pewterlanding/runtime';
import { PooledItemTransport, ConnectionPool, EventText, defaultHeaderNames } from '../src/index.js';

const good = { seal: 's', 'content-type': 'text/event-stream' };
const echo = (task: IncomingMessage): { 'task-id': string } => ({ 'task-id': String(task.headers['task-id']) });
const event = (id: number, data: string): string =>
  `id: ${id}\n${data
    .split('\n')
    .map((line) => `data: ${line}\n`)
    .join('')}\n`;

type Answer = (response: ServerResponse, task: IncomingMessage) => void;

const answers: Record<string, Answer> = {
  '/whole': (response, task) => {
    response.writeHead(200, { ...good, ...echo(task) });
    response.write(event(3, 'a'));
    response.end(`weight-versions: 2\n${event(4, 'b\nc')}`);
  },
  '/cut': (response, task) => {
    response.writeHead(200, { ...good, ...echo(task) });
    response.write(event(3, 'a'), () => response.destroy());
  },
  '/echo': (response, task) => {
    const chunks: Buffer[] = [];
    task.on('data', (chunk: Buffer) => chunks.push(chunk));
    task.on('end', () => {
      response.writeHead(200, { ...good, ...echo(task) });
      response.end(event(1, `${task.method} ${task.headers.host} ${Buffer.concat(chunks).toString('hex')}`));
    });
  },
  '/other': (response) => response.writeHead(200, { ...good, 'task-id': 'another' }).end(event(3, 'a')),
  '/sealless': (response, task) => response.writeHead(200, echo(task)).end(event(3, 'a')),
  '/full': (response, task) => response.writeHead(503, { ...echo(task), 'not-run': '1' }).end(),
  '/anotherLife': (response, task) => response.writeHead(421, { ...echo(task), 'not-run': '1' }).end(),
  '/wordless': (response, task) => response.writeHead(421, echo(task)).end(),
  '/failed': (response, task) => response.writeHead(500, echo(task)).end('no'),
  '/never': (response, task) => response.writeHead(422, echo(task)).end(),
};

describe('the wire of opaque items', () => {
  let server: Server;
  let address: Address;
  const connections = new ConnectionPool({ connectMs: 1000, idleMs: 4000, idHeader: defaultHeaderNames.task });
  const transport = new PooledItemTransport({ clock: new SystemClock(), connections, headerNames: defaultHeaderNames });

  before(async () => {
    server = createServer((task, response) => answers[task.url ?? '']?.(response, task));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const at = server.address();
    address = v.parse(Address, `127.0.0.1:${at !== null && typeof at === 'object' ? at.port : 0}`);
  });
  after(async () => {
    await connections.close();
    server.closeAllConnections();
    server.close();
  });

  let runs = 0;
  const run = async (path: string, to = address, task = `i${(runs += 1)}`) => {
    const text = new EventText();
    const headers = { host: 'a.example', 'task-id': task };
    const attempt = {
      key: to,
      address: to,
      instance: undefined,
      task,
      method: 'POST' as const,
      path,
      headers,
      body: new Uint8Array([1, 255]),
    };
    const end = await transport.run(
      { ...attempt, expiryMs: 5000, failureTimeoutMs: 5000 },
      (id, data) => text.add(id, data),
      new AbortController().signal,
    );
    return [end.kind === 'status' ? end.status : end.kind, text.text, text.last];
  };

  it('takes a return as whole only with its seal, for its task, and read to its end', async () => {
    expect(await run('/whole')).toEqual(['done', 'a\nb\nc', 4]);
    expect(await run('/echo')).toEqual(['done', 'POST a.example 01ff', 1]);
    expect(await run('/cut')).toEqual(['broken', 'a', 3]);
    expect(await run('/other')).toEqual(['broken', '', undefined]);
    expect(await run('/sealless')).toEqual(['broken', '', undefined]);
  });

  it('shares connections with what went before, and destroys those of surplus returns', async () => {
    await run('/whole');
    const before = connections.opened;
    await run('/whole');
    await run('/full');
    await run('/whole');
    expect(connections.opened).toEqual(before);
    await run('/other');
    await run('/whole');
    expect(connections.opened).toEqual(before + 1);
  });

  it('never sends an id again on a connection that carried it, where a surplus return would pass for its own', async () => {
    await run('/whole');
    const before = connections.opened;
    await run('/full', address, 'twice');
    await run('/full', address, 'twice');
    expect(connections.opened).toEqual(before + 1);
    await run('/whole');
    expect(connections.opened).toEqual(before + 1);
  });

  it('tells what did not run from what did', async () => {
    expect(await run('/full')).toEqual(['notRun', '', undefined]);
    expect(await run('/anotherLife')).toEqual(['notRun', '', undefined]);
    expect(await run('/wordless')).toEqual([421, '', undefined]);
    expect(await run('/failed')).toEqual([500, '', undefined]);
    expect(await run('/never')).toEqual([422, '', undefined]);
    expect((await run('/whole', v.parse(Address, '127.0.0.1:1')))[0]).toEqual('unsent');
  });
});
