import type { Lease, QueuedItem } from '@pewterlanding/store';

/** A queued item, and the lease under which a front shall run it. */
export interface LeasedItem {
  readonly item: QueuedItem;
  readonly lease: Lease;
}
