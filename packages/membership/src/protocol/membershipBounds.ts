/** Timing of failure detection, in milliseconds; all other waits of the membership are ratios of these. */
export interface MembershipBounds {
  /** The interval between heartbeats. */
  readonly heartbeatMs: number;
  /** A node without a heartbeat for so long is suspected. */
  readonly failureTimeoutMs: number;
  /** How many nodes watch each node. */
  readonly watchers: number;
}
