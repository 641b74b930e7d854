import { Encoder } from 'cbor-x';
import type { EntryLog } from './entryLog.js';

interface TailBounds {
  /** How much of the log is kept behind a snapshot in any case. */
  readonly tailBytes: number;
  /** The index of a snapshot that is being sent: the entries after it are kept too, up to `pinnedBytes`. */
  readonly pinnedIndex: number | undefined;
  readonly pinnedBytes: number;
}

const encoder = new Encoder({ useRecords: false });

/** The index after which entries are kept when the log is compacted up to `index`. */
export function tailStart(log: EntryLog, index: number, { tailBytes, pinnedIndex, pinnedBytes }: TailBounds): number {
  let bytes = 0;
  for (let position = index; position > log.base.index; position -= 1) {
    bytes += encoder.encode(log.at(position)).length;
    const isPinned = pinnedIndex !== undefined && position > pinnedIndex && bytes <= pinnedBytes;
    if (bytes > tailBytes && !isPinned) return position;
  }
  return log.base.index;
}
