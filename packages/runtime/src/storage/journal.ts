import { Decoder, Encoder } from 'cbor-x';
import { crc32 } from './crc32.js';
import type { Disk } from './disk.js';
import type { JournalRead } from './journalRead.js';

const headerBytes = 8;

/** An append-only file of records: length, CRC, cbor payload. One append is one record, so only the last can be torn. */
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

  get lengthBytes(): number {
    return this.#lengthBytes;
  }

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
      if (crc32(payload) !== view.getUint32(at + 4)) {
        // A whole record that is wrong with more after it was not torn by a crash.
        damaged = end < bytes.length;
        break;
      }
      records.push(this.#decoder.decode(payload));
      at = end;
    }
    const torn = !damaged && at < bytes.length;
    // Cut a torn tail for good, or the next record would be read as its rest.
    if (torn) await this.#disk.replace(this.#file, bytes.slice(0, at));
    this.#lengthBytes = at;
    return damaged ? { records: [], torn, damaged } : { records, torn, damaged };
  }

  async append(record: unknown): Promise<void> {
    const bytes = this.#frame(record);
    await this.#disk.append(this.#file, bytes);
    this.#lengthBytes += bytes.length;
  }

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
    view.setUint32(4, crc32(payload));
    bytes.set(payload, headerBytes);
    return bytes;
  }
}
