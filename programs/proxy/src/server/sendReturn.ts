import type { FastifyReply } from 'fastify';
import type { FrontProxy } from '../frontProxy.js';
import type { LiveTask } from '../forwarding/liveTask.js';
import { sendError } from './sendError.js';

const maxUnreadBytes = 1 << 20;

/** Carries a task and writes its return: whole as JSON, streams as server-sent events that end with an explicit close. */
export async function sendReturn(proxy: FrontProxy, task: LiveTask, reply: FastifyReply): Promise<FastifyReply> {
  const abort = new AbortController();
  const raw = reply.raw;
  // A caller that leaves takes its task along.
  raw.on('close', () => {
    if (!raw.writableFinished) abort.abort();
  });
  let pieces = 0;
  const piece = (data: string): void => {
    if (pieces === 0) {
      reply.hijack();
      raw.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'task-id': task.id });
    }
    const lines = data
      .split('\n')
      .map((line) => `data: ${line}\n`)
      .join('');
    raw.write(`id: ${pieces}\n${lines}\n`);
    pieces += 1;
    // A caller too slow to read is let go rather than held in memory.
    if (raw.writableLength > maxUnreadBytes) raw.destroy();
  };
  const result = await proxy.forwarder.carry(task, piece, abort.signal);
  if (result.kind === 'streamed' || result.kind === 'cut') {
    if (pieces === 0) {
      reply.hijack();
      raw.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'task-id': task.id });
    }
    if (result.kind === 'streamed') raw.end('event: close\ndata: {}\n\n');
    // A failure is told, and the circuit is broken too: no reader can take it for a clean end.
    else raw.write(`event: failure\ndata: ${JSON.stringify({ error: result.reason })}\n\n`, () => raw.destroy());
    return reply;
  }
  void reply.header('task-id', task.id);
  if (result.kind === 'whole')
    return reply.header('content-type', 'application/json').send(`{"task":${JSON.stringify(task.id)},"output":${result.body}}`);
  if (result.kind === 'refused' && result.retryAfterMs !== undefined)
    void reply.header('retry-after', String(Math.max(1, Math.ceil(result.retryAfterMs / 1000))));
  return sendError(reply, result.status, result.reason);
}
