/** A pool of replicas, and what is asked of it. */
export interface PoolDemand {
  readonly slots: number;
  readonly replicas: number;
  /** Live requests, running and waiting. */
  readonly live: number;
  /** The largest part of its time, from queueing until it is due, that a queued item has waited: 0 to 1, above 1 when it is late. */
  readonly waitedRatio: number;
}
