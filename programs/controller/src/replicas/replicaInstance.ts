import type { Replica } from '@pewterlanding/agent';

/** What a controller knows of one instance of a replica. */
export interface ReplicaInstance {
  /** As last published in the state table, or announced to this controller. */
  replica: Replica;
  /** The highest counter of its heartbeats that any controller is known to have received. */
  counter: number;
  /** When that counter became known here, by the monotonic clock; for a new instance, when it became known at all. */
  heartbeatMs: number;
}
