import { createHash } from 'node:crypto';
import { Decoder } from 'cbor-x';
import * as v from 'valibot';
import { Snapshot } from './snapshot.js';

interface Chunk {
  readonly index: number;
  readonly snapshotTerm: number;
  readonly lengthBytes: number;
  /** SHA-256 of the whole snapshot, in hex. */
  readonly checksum: string;
  readonly offset: number;
  readonly bytes: Uint8Array;
}

type Received =
  /** `offset` is where the next chunk has to start. */
  | { readonly kind: 'incomplete'; readonly offset: number }
  | { readonly kind: 'complete'; readonly snapshot: Snapshot }
  | { readonly kind: 'invalid'; readonly reason: string };

/** Assembles a snapshot from its chunks. Any leader that sends the same snapshot, by checksum, resumes where the last chunk ended. */
export class SnapshotReceiver {
  #checksum = '';
  #chunks: Uint8Array[] = [];
  #offset = 0;

  /** Adds a chunk, or says where the next has to start if this one does not fit. */
  receive(chunk: Chunk): Received {
    if (chunk.checksum !== this.#checksum) this.#restart(chunk.checksum);
    if (chunk.offset !== this.#offset) return { kind: 'incomplete', offset: this.#offset };
    this.#chunks.push(chunk.bytes);
    this.#offset += chunk.bytes.length;
    if (this.#offset < chunk.lengthBytes) return { kind: 'incomplete', offset: this.#offset };
    const bytes = Buffer.concat(this.#chunks);
    this.#restart('');
    if (bytes.length !== chunk.lengthBytes) return { kind: 'invalid', reason: `${bytes.length} bytes of ${chunk.lengthBytes}` };
    if (createHash('sha256').update(bytes).digest('hex') !== chunk.checksum) return { kind: 'invalid', reason: 'its checksum differs' };
    return decode(bytes, chunk);
  }

  #restart(checksum: string): void {
    this.#checksum = checksum;
    this.#chunks = [];
    this.#offset = 0;
  }
}

function decode(bytes: Uint8Array, { index, snapshotTerm }: Chunk): Received {
  try {
    const snapshot = v.parse(Snapshot, new Decoder({ useRecords: false }).decode(bytes));
    if (snapshot.index !== index || snapshot.term !== snapshotTerm) return { kind: 'invalid', reason: 'it is of another index or term' };
    return { kind: 'complete', snapshot };
  } catch {
    return { kind: 'invalid', reason: 'it does not decode' };
  }
}
