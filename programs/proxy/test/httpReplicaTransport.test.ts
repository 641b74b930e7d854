import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Address, Service, ServiceName, TaskId } from '@pewterlanding/model';
import { SystemClock } from '@pewterlanding/runtime';
import { HttpReplicaTransport } from '../src/forwarding/httpReplicaTransport.js';

type Answer = (reply: ServerResponse, id: string) => void;

const answers: Record<string, Answer> = {
  own: (reply, id) => reply.writeHead(200, { 'task-id': id }).end(JSON.stringify({ task: id, output: 1 })),
  ownRefusal: (reply, id) => reply.writeHead(503, { 'task-id': id }).end(),
  surplusReturn: (reply) => reply.writeHead(200, { 'task-id': 'another' }).end(JSON.stringify({ task: 'another', output: 2 })),
  surplusRefusal: (reply) => reply.writeHead(503, { 'task-id': 'another' }).end(),
  namelessRefusal: (reply) => reply.writeHead(503).end(),
};

describe('the transport of inspected requests', () => {
  let carried: Socket | undefined;
  const transport = new HttpReplicaTransport(new SystemClock());
  let server: Server;
  let address: Address;
  let tasks = 0;

  before(async () => {
    server = createServer((task: IncomingMessage, reply) => {
      carried = task.socket;
      const id = String(task.headers['task-id']);
      answers[id.replace(/\d+$/, '')]?.(reply, id);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const at = server.address();
    address = v.parse(Address, `127.0.0.1:${at !== null && typeof at === 'object' ? at.port : 0}`);
  });
  after(async () => {
    await transport.close();
    server.closeAllConnections();
    server.close();
  });

  const rule = v.parse(Service, { kind: 'whole', idempotent: false, replicas: { maxSlots: 4 } });
  const run = async (how: string) => {
    tasks += 1;
    const task = { id: v.parse(TaskId, `${how}${tasks}`), service: v.parse(ServiceName, 's'), rule, address, input: '{}' };
    const end = await transport.run(task, () => undefined, new AbortController().signal);
    return end.kind === 'status' ? end.status : end.kind;
  };

  it('accepts neither a response nor a refusal for another request, and closes the connection of each', async () => {
    expect(await run('own')).toEqual('done');
    expect(carried?.destroyed).toEqual(false);
    expect(await run('ownRefusal')).toEqual(503);
    expect(carried?.destroyed).toEqual(false);
    for (const how of ['surplusReturn', 'surplusRefusal', 'namelessRefusal']) {
      expect(await run(how)).toEqual('broken');
      const { closed = true } = carried ?? {};
      if (!closed && carried !== undefined) await once(carried, 'close');
    }
  });
});
