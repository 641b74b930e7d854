import type { Replica } from '@pewterlanding/agent';

/** A replica that may get requests: announced, allowed by the configuration, and neither draining nor silent. */
export interface ReplicaRow {
  readonly replica: Replica;
  /** Requests that other proxies have in flight there, as of their last reports. */
  readonly others: number;
  /** Its announcements are late: selected only if no other replica has a free slot. */
  readonly late: boolean;
}
