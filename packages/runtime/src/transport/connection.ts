import type { Socket } from 'node:net';
import { Decoder, Encoder } from 'cbor-x';
import * as v from 'valibot';
import type { Address } from '@pewterlanding/model';
import type { Counters } from '../logging/index.js';
import { Frame } from './frame.js';
import { FrameReader } from './frameReader.js';
import { Handshake } from './handshake.js';
import type { TransportBounds } from './transportBounds.js';

/** Goes up when a frame or a message changes its shape: processes of different versions do not talk to each other. */
const transportVersion = 2;
const lengthPrefixBytes = 4;

interface ConnectionHooks {
  readonly frame: (frame: Frame, connection: Connection) => void;
  readonly closed: (connection: Connection) => void;
  /** The remote side has passed the handshake; `from` is the address at which it accepts connections. */
  readonly greeted?: (from: Address) => void;
}

interface ConnectionOptions {
  readonly socket: Socket;
  readonly fleet: string;
  /** The address of this process that the handshake names. */
  readonly from: Address;
  readonly bounds: TransportBounds;
  readonly counters: Counters;
  readonly hooks: ConnectionHooks;
}

/**
 * One TCP connection that carries length-prefixed CBOR frames. The first frame of each side is its handshake. A handshake of another
 * fleet or version, or bytes that cannot be read, close the connection and are counted (`wire.turnedAway`, `wire.unreadable`).
 */
export class Connection {
  readonly #options: ConnectionOptions;
  readonly #encoder = new Encoder({ useRecords: false });
  readonly #decoder = new Decoder({ useRecords: false });
  readonly #reader: FrameReader;
  #greeted = false;
  #bytes = 0;

  constructor(options: ConnectionOptions) {
    const { socket, fleet, from, bounds, hooks } = options;
    this.#options = options;
    this.#reader = new FrameReader(bounds.maxFrameBytes);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => hooks.closed(this));
    this.#write({ fleet, version: transportVersion, from });
  }

  /** Bytes received so far. While the number stays the same, the remote process may be gone. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Returns false when the frame was not written: the connection is closed, the frame too large, or the remote side reads too slowly. */
  send(frame: Frame): boolean {
    const { socket, bounds, counters } = this.#options;
    if (socket.destroyed) return false;
    if (socket.writableLength > bounds.maxQueueBytes) {
      counters.add('wire.slowReader');
      socket.destroy();
      return false;
    }
    return this.#write(frame);
  }

  close(): void {
    this.#options.socket.destroy();
  }

  #receive(chunk: Buffer): void {
    const { socket, counters } = this.#options;
    this.#bytes += chunk.length;
    try {
      for (const payload of this.#reader.push(chunk)) {
        // A payload before this one may have closed the connection.
        if (!socket.destroyed) this.#read(payload);
      }
    } catch {
      counters.add('wire.unreadable');
      socket.destroy();
    }
  }

  #read(payload: Buffer): void {
    const decoded: unknown = this.#decoder.decode(payload);
    if (this.#greeted) this.#options.hooks.frame(v.parse(Frame, decoded), this);
    else this.#checkHandshake(v.parse(Handshake, decoded));
  }

  #checkHandshake(handshake: Handshake): void {
    const { fleet, hooks } = this.#options;
    if (handshake.fleet !== fleet) {
      this.#refuse('wire.otherFleet');
      return;
    }
    if (handshake.version !== transportVersion) {
      this.#refuse('wire.otherVersion');
      return;
    }
    this.#greeted = true;
    hooks.greeted?.(handshake.from);
  }

  /** `wire.turnedAway` counts all refused handshakes, `cause` those of one cause. */
  #refuse(cause: 'wire.otherFleet' | 'wire.otherVersion'): void {
    const { socket, counters } = this.#options;
    counters.add('wire.turnedAway');
    counters.add(cause);
    socket.destroy();
  }

  #write(message: unknown): boolean {
    const { socket, bounds, counters } = this.#options;
    const payload = this.#encoder.encode(message);
    if (payload.length > bounds.maxFrameBytes) {
      counters.add('wire.tooLarge');
      return false;
    }
    const lengthPrefix = Buffer.allocUnsafe(lengthPrefixBytes);
    lengthPrefix.writeUInt32BE(payload.length, 0);
    // Corked, both leave in one segment.
    socket.cork();
    socket.write(lengthPrefix);
    socket.write(payload);
    socket.uncork();
    return true;
  }
}
