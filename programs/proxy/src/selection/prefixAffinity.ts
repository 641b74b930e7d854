import type { ReplicaRow } from '../routing/replicaRow.js';
import { replicaKey } from '../routing/replicaKey.js';

interface PrefixAffinityInput {
  /** What requests with the same prompt prefix have in common. */
  readonly affinityKey: string;
  /** All replicas that the request may go to, also those without a free slot now: they keep their places in the order. */
  readonly rows: readonly ReplicaRow[];
  /** Those that may be chosen. */
  readonly candidates: ReadonlySet<ReplicaRow>;
  readonly loadOf: (row: ReplicaRow) => number;
}

/** A home is left when its load exceeds this, or the mean by more than the bounds below; live requests preempt batch items there. */
const maxLoad = 1.5;
const maxOverMean = 2;
/** Slots by which a home may exceed the mean bound. */
const extraSlots = 2;

/**
 * The replica whose prompt cache holds a prefix, by rendezvous hashing (highest random weight): every proxy computes the same order
 * without coordination. Overloaded replicas are skipped, as in consistent hashing with bounded loads. Undefined when all are.
 */
export function prefixAffinity({ affinityKey, rows, candidates, loadOf }: PrefixAffinityInput): ReplicaRow | undefined {
  const meanLoad = rows.reduce((sum, row) => sum + loadOf(row), 0) / rows.length;
  const hash = textHash(affinityKey);
  const ranked = rows
    .map((row) => ({ row, key: replicaKey(row.replica), rank: mixed(hash ^ textHash(replicaKey(row.replica))) }))
    .sort((a, b) => b.rank - a.rank || (a.key < b.key ? -1 : 1));
  const home = ranked.find(({ row }) => {
    if (!candidates.has(row)) return false;
    const load = loadOf(row);
    return load <= maxLoad && load <= meanLoad * maxOverMean + extraSlots / row.replica.slots;
  });
  return home?.row;
}

/** FNV-1a over UTF-16 code units. */
function textHash(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  return hash;
}

/** The finalizer of MurmurHash3: a change of one input bit changes each output bit with probability one half. */
function mixed(hash: number): number {
  let value = hash;
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
