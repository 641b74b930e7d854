import type { Socket } from 'node:net';
import { Decoder, Encoder } from 'cbor-x';
import * as v from 'valibot';
import type { Address } from '@pewterlanding/model';
import type { Counters } from '../logging/counters.js';
import { Frame } from './frame.js';
import { FrameReader } from './frameReader.js';
import { Handshake } from './handshake.js';
import type { TransportBounds } from './transportBounds.js';

const transportVersion = 1;

interface ConnectionHooks {
  readonly frame: (frame: Frame, connection: Connection) => void;
  readonly closed: (connection: Connection) => void;
  /** The other side has said who it is. */
  readonly greeted?: (from: Address) => void;
}

/** One TCP circuit. Each side's first frame is its Hello; a wrong fleet, version or shape closes the circuit and is counted. */
export class Connection {
  readonly #socket: Socket;
  readonly #encoder = new Encoder({ useRecords: false });
  readonly #decoder = new Decoder({ useRecords: false });
  readonly #bounds: TransportBounds;
  readonly #counters: Counters;
  readonly #fleet: string;
  #greeted = false;
  #bytes = 0;

  constructor(
    socket: Socket,
    hello: { readonly fleet: string; readonly from: Handshake['from'] },
    bounds: TransportBounds,
    counters: Counters,
    hooks: ConnectionHooks,
  ) {
    this.#socket = socket;
    this.#bounds = bounds;
    this.#counters = counters;
    this.#fleet = hello.fleet;
    const reader = new FrameReader(bounds.maxFrameBytes);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.#bytes += chunk.length;
      try {
        for (const payload of reader.push(chunk)) if (!socket.destroyed) this.#read(payload, hooks);
      } catch {
        counters.add('wire.unreadable');
        socket.destroy();
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => hooks.closed(this));
    this.#write({ fleet: hello.fleet, version: transportVersion, from: hello.from });
  }

  /** How much has come in; as long as that stays the same, nobody may be there. */
  get bytes(): number {
    return this.#bytes;
  }

  /** False when the circuit is gone or its reader too slow; the slow reader is dropped. */
  send(frame: Frame): boolean {
    if (this.#socket.destroyed) return false;
    if (this.#socket.writableLength > this.#bounds.maxQueueBytes) {
      this.#counters.add('wire.slowReader');
      this.#socket.destroy();
      return false;
    }
    return this.#write(frame);
  }

  close(): void {
    this.#socket.destroy();
  }

  #read(payload: Buffer, hooks: ConnectionHooks): void {
    const decoded: unknown = this.#decoder.decode(payload);
    if (this.#greeted) {
      hooks.frame(v.parse(Frame, decoded), this);
      return;
    }
    const hello = v.parse(Handshake, decoded);
    if (hello.fleet !== this.#fleet || hello.version !== transportVersion) {
      this.#counters.add('wire.turnedAway');
      this.#socket.destroy();
      return;
    }
    this.#greeted = true;
    hooks.greeted?.(hello.from);
  }

  #write(message: unknown): boolean {
    const payload = this.#encoder.encode(message);
    if (payload.length > this.#bounds.maxFrameBytes) {
      this.#counters.add('wire.tooLarge');
      return false;
    }
    const head = Buffer.allocUnsafe(4);
    head.writeUInt32BE(payload.length, 0);
    this.#socket.cork();
    this.#socket.write(head);
    this.#socket.write(payload);
    this.#socket.uncork();
    return true;
  }
}
