import { createHash } from 'node:crypto';
import { Decoder } from 'cbor-x';
import * as v from 'valibot';
import { Snapshot } from './snapshot.js';

interface Chunk {
  readonly index: number;
  readonly snapshotTerm: number;
  readonly lengthBytes: number;
  /** SHA-256 of the whole, in hex. */
  readonly checksum: string;
  readonly offset: number;
  readonly bytes: Uint8Array;
}

type Received =
  | { readonly kind: 'held'; readonly held: number }
  | { readonly kind: 'whole'; readonly snapshot: Snapshot }
  | { readonly kind: 'bad'; readonly reason: string };

/** Puts the chunks of one snapshot together. Whoever sends the same snapshot goes on where the last chunk that came ends. */
export class SnapshotReceiver {
  #checksum = '';
  #chunks: Uint8Array[] = [];
  #held = 0;

  take(chunk: Chunk): Received {
    if (chunk.checksum !== this.#checksum) this.#begin(chunk.checksum);
    if (chunk.offset !== this.#held) return { kind: 'held', held: this.#held };
    this.#chunks.push(chunk.bytes);
    this.#held += chunk.bytes.length;
    if (this.#held < chunk.lengthBytes) return { kind: 'held', held: this.#held };
    const whole = Buffer.concat(this.#chunks);
    this.#begin('');
    if (whole.length !== chunk.lengthBytes) return { kind: 'bad', reason: `${whole.length} bytes of ${chunk.lengthBytes}` };
    if (createHash('sha256').update(whole).digest('hex') !== chunk.checksum) return { kind: 'bad', reason: 'its checksum differs' };
    return read(whole, chunk);
  }

  #begin(checksum: string): void {
    this.#checksum = checksum;
    this.#chunks = [];
    this.#held = 0;
  }
}

function read(whole: Uint8Array, { index, snapshotTerm }: Chunk): Received {
  try {
    const snapshot = v.parse(Snapshot, new Decoder({ useRecords: false }).decode(whole));
    if (snapshot.index !== index || snapshot.term !== snapshotTerm) return { kind: 'bad', reason: 'it is of another index or term' };
    return { kind: 'whole', snapshot };
  } catch {
    return { kind: 'bad', reason: 'it does not decode' };
  }
}
