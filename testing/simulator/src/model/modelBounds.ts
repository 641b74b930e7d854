/** The one bound of the modelled group and what follows from it. */
export const modelBounds = {
  failureTimeoutMs: 1000,
  /** Small, so that a case of a few dozen orders has its members compact their logs and send snapshots. */
  compactBytes: 6 << 10,
  /** How long an operator waits for one order: two elections and a few tries. */
  orderWaitMs: 6000,
  /** The invariants are checked so often while time goes by. */
  checkMs: 20,
  /** Once nothing fails any more, the group must be whole and caught up within so many failure timeouts. */
  recoveryTimeouts: 30,
} as const;
