import { createHash } from 'node:crypto';
import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { RingCapacityError } from './ringCapacityError.js';

const numberBytes = 8;
/** Half of a SHA-256: with 128 bits nobody finds two documents that share it. */
const hashBytes = 16;
const recordBytes = numberBytes + hashBytes;

/** A ring as snapshots store it. `written` counts every record ever written. */
const Packed = v.strictObject({ written: Count, bytes: v.instance(Uint8Array) });
type Packed = v.InferOutput<typeof Packed>;

interface PackedRecord {
  readonly number: number;
  /** The SHA-256 of the text it was written for, cut to 128 bits. */
  readonly hash: Buffer;
}

/**
 * The newest records of a number and a hash, in 24 bytes each. The whole buffer is allocated at once, so that neither memory nor
 * snapshots grow with what is written; past the capacity the oldest record is overwritten, at every member of a shard alike.
 */
export class PackedRing {
  static readonly schema = Packed;
  readonly #capacity: number;
  #bytes: Buffer;
  #written = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
    this.#bytes = Buffer.alloc(capacity * recordBytes);
  }

  static hash(text: string): Buffer {
    return createHash('sha256').update(text).digest().subarray(0, hashBytes);
  }

  add(number: number, text: string): void {
    const at = (this.#written % this.#capacity) * recordBytes;
    this.#bytes.writeDoubleBE(number, at);
    this.#bytes.set(PackedRing.hash(text), at + numberBytes);
    this.#written += 1;
  }

  /** The newest matching record, if there is one. */
  find(matches: (record: PackedRecord) => boolean): PackedRecord | undefined {
    const oldest = Math.max(0, this.#written - this.#capacity);
    for (let position = this.#written - 1; position >= oldest; position -= 1) {
      const at = (position % this.#capacity) * recordBytes;
      const record = { number: this.#bytes.readDoubleBE(at), hash: this.#bytes.subarray(at + numberBytes, at + recordBytes) };
      if (matches(record)) return record;
    }
    return undefined;
  }

  snapshot(): Packed {
    return { written: this.#written, bytes: Uint8Array.from(this.#bytes) };
  }

  /** Throws a `RingCapacityError` where the snapshot's ring has another capacity. */
  restore({ written, bytes }: Packed): void {
    if (bytes.length !== this.#capacity * recordBytes) throw new RingCapacityError(bytes.length);
    this.#written = written;
    // Decoded bytes may be a view into a much larger buffer, which must not stay in memory.
    this.#bytes = Buffer.from(Uint8Array.from(bytes).buffer);
  }
}
