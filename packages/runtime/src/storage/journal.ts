import { Decoder, Encoder } from 'cbor-x';
import { crc32 } from './crc32.js';
import type { Disk } from './disk.js';
import type { JournalRead } from './journalRead.js';

const headerBytes = 8;
const crcOffset = 4;

/**
 * An append-only file of records. Each record is the length of its payload and its CRC-32 (four bytes each, big-endian), then the payload
 * in CBOR. Records are appended and synced one by one, so that a crash can tear only the last one. Not safe for concurrent calls.
 */
export class Journal {
  readonly #disk: Disk;
  readonly #file: string;
  readonly #encoder = new Encoder({ useRecords: false });
  readonly #decoder = new Decoder({ useRecords: false });
  #lengthBytes = 0;

  constructor(disk: Disk, file: string) {
    this.#disk = disk;
    this.#file = file;
  }

  /** Size of the file after the last call that completed, in bytes. */
  get lengthBytes(): number {
    return this.#lengthBytes;
  }

  /** Reads all records and truncates a torn tail. Must complete before the first append. */
  async open(): Promise<JournalRead> {
    const bytes = (await this.#disk.read(this.#file)) ?? new Uint8Array();
    const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const records: unknown[] = [];
    let at = 0;
    let damaged = false;
    while (at + headerBytes <= bytes.length) {
      const end = at + headerBytes + view.getUint32(at);
      if (end > bytes.length || end === at + headerBytes) break;
      const payload = bytes.subarray(at + headerBytes, end);
      if (crc32(payload) !== view.getUint32(at + crcOffset)) {
        // A crash tears only the last record: more bytes behind a wrong one mean that the file is damaged.
        damaged = end < bytes.length;
        break;
      }
      records.push(this.#decoder.decode(payload));
      at = end;
    }
    const torn = !damaged && at < bytes.length;
    // Otherwise the next record would be read as the rest of the torn one.
    if (torn) await this.#disk.replace(this.#file, bytes.slice(0, at));
    this.#lengthBytes = at;
    return damaged ? { records: [], torn, damaged } : { records, torn, damaged };
  }

  /** Appends one record; it is durable when the promise resolves. */
  async append(record: unknown): Promise<void> {
    const bytes = this.#frame(record);
    await this.#disk.append(this.#file, bytes);
    this.#lengthBytes += bytes.length;
  }

  /** Replaces all records atomically. */
  async rewrite(records: readonly unknown[]): Promise<void> {
    const bytes = Buffer.concat(records.map((record) => this.#frame(record)));
    await this.#disk.replace(this.#file, bytes);
    this.#lengthBytes = bytes.length;
  }

  #frame(record: unknown): Uint8Array {
    const payload = this.#encoder.encode(record);
    const bytes = new Uint8Array(headerBytes + payload.length);
    const view = new DataView(bytes.buffer);
    view.setUint32(0, payload.length);
    view.setUint32(crcOffset, crc32(payload));
    bytes.set(payload, headerBytes);
    return bytes;
  }
}
