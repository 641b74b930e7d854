import { crc32 as zlibCrc32 } from 'node:zlib';

/** CRC-32 (IEEE 802.3) of the bytes, as an unsigned number. */
export function crc32(bytes: Uint8Array): number {
  return zlibCrc32(bytes) >>> 0;
}
