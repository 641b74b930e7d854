import type { FastifyReply } from 'fastify';
import type { LiveTask } from '../forwarding/liveTask.js';
import type { FrontProxy } from '../front-proxy/index.js';
import { EventStreamResponse } from './eventStreamResponse.js';
import { sendError } from './sendError.js';

/** Runs a task and sends its output: whole as JSON, streams as server-sent events. */
export async function sendReturn(proxy: FrontProxy, task: LiveTask, reply: FastifyReply): Promise<FastifyReply> {
  const stream = new EventStreamResponse(reply, task.id);
  const result = await proxy.forwarder.carry(task, (data) => stream.write(data), whenCallerLeaves(reply));
  if (result.kind === 'streamed') {
    stream.close();
    return reply;
  }
  if (result.kind === 'cut') {
    stream.fail(result.reason);
    return reply;
  }
  void reply.header('task-id', task.id);
  if (result.kind === 'whole') {
    void reply.header('content-type', 'application/json');
    return reply.send(`{"task":${JSON.stringify(task.id)},"output":${result.body}}`);
  }
  if (result.kind === 'refused' && result.retryAfterMs !== undefined) {
    const retryAfterS = Math.max(1, Math.ceil(result.retryAfterMs / 1000));
    void reply.header('retry-after', String(retryAfterS));
  }
  return sendError(reply, result.status, result.reason);
}

/** Aborts when the caller closes the connection before its response is complete. */
function whenCallerLeaves({ raw }: FastifyReply): AbortSignal {
  const abort = new AbortController();
  raw.on('close', () => {
    if (!raw.writableFinished) abort.abort();
  });
  return abort.signal;
}
