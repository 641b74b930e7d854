import type { FastifyReply } from 'fastify';
import type { TaskId } from '@pewterlanding/model';

/** Limit on what is buffered for a caller that reads too slowly; beyond it the connection is closed. */
const maxUnreadBytes = 1 << 20;

/** Writes a task's streamed output as server-sent events, numbered from 0. */
export class EventStreamResponse {
  readonly #reply: FastifyReply;
  readonly #task: TaskId;
  #pieces = 0;

  constructor(reply: FastifyReply, task: TaskId) {
    this.#reply = reply;
    this.#task = task;
  }

  /** Writes one piece of output. */
  write(data: string): void {
    this.#begin();
    const { raw } = this.#reply;
    const lines = data.split('\n').map((line) => `data: ${line}\n`);
    raw.write(`id: ${this.#pieces}\n${lines.join('')}\n`);
    this.#pieces += 1;
    if (raw.writableLength > maxUnreadBytes) raw.destroy();
  }

  /** Ends the stream with an explicit event: without one a caller could not distinguish a complete stream from one cut short. */
  close(): void {
    this.#begin();
    this.#reply.raw.end('event: close\ndata: {}\n\n');
  }

  /** Writes a failure, then breaks the connection: no caller can take it for a clean end. */
  fail(reason: string): void {
    this.#begin();
    const { raw } = this.#reply;
    raw.write(`event: failure\ndata: ${JSON.stringify({ error: reason })}\n\n`, () => raw.destroy());
  }

  #begin(): void {
    if (this.#pieces > 0) return;
    this.#reply.hijack();
    const headers = { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'task-id': this.#task };
    this.#reply.raw.writeHead(200, headers);
  }
}
