import type { OpenLease, QueuedItem } from '@pewterlanding/store';

/** What one tick of the dispatcher read from a batch shard. */
export interface ShardView {
  readonly shard: string;
  /** The heads of the queues. */
  readonly items: readonly QueuedItem[];
  /** Leases that are neither settled nor returned. */
  readonly open: readonly OpenLease[];
  /** Queued items by quota. */
  readonly waiting: Readonly<Record<string, number>>;
}
