/** How often the parts of a member act within one failure timeout. */
export const memberTiming = {
  /** Heartbeats of a leader, and a follower's checks of its leader. */
  ticksPerTimeout: 5,
  /** How often a member that has just started checks whether all others have, too. */
  restartChecksPerTimeout: 40,
  /**
   * By so many of these checks each later voter in the group's order waits longer, or those who start together would split the votes.
   * No attempt waits longer for a member that does not answer, so that an earlier one is over before the next begins.
   */
  restartChecksPerPosition: 2,
  /** How often a leader that leaves asks another to take over. */
  transfersPerTimeout: 20,
  /** After so many missed heartbeats the first voter in the order checks whether the leader's process is gone. */
  missedHeartbeats: 1.5,
} as const;
