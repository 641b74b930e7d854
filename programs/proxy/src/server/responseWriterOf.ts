import type { ServerResponse } from 'node:http';
import type { ResponseWriter } from '../forwarding/responseWriter.js';

/** Writes to Node's response; after the connection broke, every call does nothing. */
export function responseWriterOf(response: ServerResponse, isLeaving: () => boolean): ResponseWriter {
  return {
    head: (status, reason, headers) => {
      if (response.headersSent || response.destroyed) return;
      // Read again here: the proxy may have begun to leave while the task ran.
      if (isLeaving()) response.shouldKeepAlive = false;
      if (reason === '') response.writeHead(status, [...headers]);
      else response.writeHead(status, reason, [...headers]);
    },
    write: (chunk) => response.destroyed || response.write(chunk),
    drained: (run) => void response.once('drain', run),
    end: (chunk) => {
      if (response.destroyed) return;
      if (chunk === undefined) response.end();
      else response.end(chunk);
    },
    destroy: () => {
      // A response queued behind another on its connection has no socket yet; its request knows the socket.
      response.req.socket.destroy();
      response.destroy();
    },
  };
}
