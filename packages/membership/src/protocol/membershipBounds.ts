/** The bounds of acquaintance; the rest are ratios to the silence. */
export interface MembershipBounds {
  readonly heartbeatMs: number;
  readonly failureTimeoutMs: number;
  readonly watchers: number;
}
