import { Encoder } from 'cbor-x';
import type { EntryLog } from './entryLog.js';

interface TailBounds {
  /** How much of the log stays behind a snapshot in any case. */
  readonly tailBytes: number;
  /** A receiver is being sent a snapshot of this index: the entries after it stay too, up to so many bytes. */
  readonly pinnedIndex: number | undefined;
  readonly pinnedBytes: number;
}

const encoder = new Encoder({ useRecords: false });

/** The index after which entries stay when a snapshot of `index` is made. */
export function tailStart(log: EntryLog, index: number, { tailBytes, pinnedIndex, pinnedBytes }: TailBounds): number {
  let bytes = 0;
  for (let position = index; position > log.base.index; position -= 1) {
    bytes += encoder.encode(log.at(position)).length;
    const pinned = pinnedIndex !== undefined && position > pinnedIndex && bytes <= pinnedBytes;
    if (bytes > tailBytes && !pinned) return position;
  }
  return log.base.index;
}
