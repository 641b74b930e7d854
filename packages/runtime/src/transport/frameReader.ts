import { TransportError } from './transportError.js';

const lengthPrefixBytes = 4;

/** Splits a stream of bytes into frames: a length of four bytes (big-endian), then so many bytes of payload. */
export class FrameReader {
  readonly #maxBytes: number;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  /** Length of the payload that is being received; undefined while its length prefix is incomplete. */
  #payloadBytes: number | undefined;

  /** `maxBytes` bounds the payload of one frame. */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Returns the payloads that are complete with this chunk. Throws a TransportError when a frame is longer than the bound. */
  push(chunk: Buffer): readonly Buffer[] {
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    const payloads: Buffer[] = [];
    for (;;) {
      this.#payloadBytes ??= this.#readLength();
      if (this.#payloadBytes === undefined || this.#bufferedBytes < this.#payloadBytes) return payloads;
      payloads.push(this.#take(this.#payloadBytes));
      this.#payloadBytes = undefined;
    }
  }

  #readLength(): number | undefined {
    if (this.#bufferedBytes < lengthPrefixBytes) return undefined;
    const payloadBytes = this.#take(lengthPrefixBytes).readUInt32BE(0);
    if (payloadBytes > this.#maxBytes) throw new TransportError('unreadable', `frame of ${payloadBytes} bytes`);
    return payloadBytes;
  }

  #take(lengthBytes: number): Buffer {
    const buffered = this.#joined();
    this.#chunks = buffered.length > lengthBytes ? [buffered.subarray(lengthBytes)] : [];
    this.#bufferedBytes = buffered.length - lengthBytes;
    return buffered.subarray(0, lengthBytes);
  }

  /** A single chunk, the usual case, is not copied. */
  #joined(): Buffer {
    const [first, ...others] = this.#chunks;
    return first !== undefined && others.length === 0 ? first : Buffer.concat(this.#chunks);
  }
}
