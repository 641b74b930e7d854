import type { QueuedItem } from '@pewterlanding/store';

/** A queued item, with the batch shard that keeps it. */
export type ShardItem = QueuedItem & { readonly shard: string };
