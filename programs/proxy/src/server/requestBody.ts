import type { IncomingMessage } from 'node:http';

/**
 * Reads a request's whole body. 'too large' above `maxBytes`; undefined when the downstream broke the connection before the body's
 * end: then nobody waits for a response.
 */
export function requestBody(request: IncomingMessage, maxBytes: number): Promise<Buffer | 'too large' | undefined> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return Promise.resolve('too large');
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        chunks.length = 0;
        request.pause();
        return resolve('too large');
      }
      chunks.push(chunk);
    });
    request.on('end', () => resolve(joined(chunks)));
    request.on('error', () => resolve(undefined));
    request.on('close', () => resolve(undefined));
  });
}

/** A body of one chunk is not copied. */
function joined(chunks: readonly Buffer[]): Buffer {
  const [only] = chunks;
  return chunks.length === 1 && only !== undefined ? only : Buffer.concat(chunks);
}
