import { crc32 as zlibCrc32 } from 'node:zlib';

/** The usual CRC-32 of the bytes. */
export function crc32(bytes: Uint8Array): number {
  return zlibCrc32(bytes) >>> 0;
}
