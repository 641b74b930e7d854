import type { GroupMember } from '../group/index.js';

/** Entries in one append at most. */
const maxEntries = 256;

/** A leader's state of one other member of the group; Raft's nextIndex and matchIndex, and what tells whether it is reachable. */
export class Follower {
  /** The index of the next entry to send. */
  nextIndex: number;
  /** The highest index up to which its synced log is known to equal the leader's. */
  matchIndex = 0;
  /** The newest round of leadership confirmation that it answered. */
  confirmedRound = 0;
  /** When its last reply came. */
  heardMs: number;
  /** Since when its replies have come without a gap of a failure timeout. */
  steadySinceMs: number;
  /** How long a sync takes there, as a moving average. */
  syncMs = 0;
  /** Its last append brought it to the end of the log at the time of sending: it keeps up, even where a steady load has moved on since. */
  keepsUp = false;
  /** A call to it is in progress. */
  isBusy = false;
  /** Something came to be sent while a call was in progress. */
  sendAgain = false;
  /** The process at its address answered that it is another member, or has not opened the shard yet. */
  isRefused = false;
  /** Entries in the next append at most: fewer after a failure, which a frame too large for the transport may have caused. */
  maxBatchEntries = maxEntries;

  constructor(
    public groupMember: GroupMember,
    lastIndex: number,
    nowMs: number,
  ) {
    this.nextIndex = lastIndex + 1;
    this.heardMs = nowMs;
    this.steadySinceMs = nowMs;
  }

  /** An append was answered: batches may be long again. */
  recordSuccess(): void {
    this.maxBatchEntries = maxEntries;
  }

  /** A call failed: the next batch is half as long. */
  recordFailure(): void {
    this.maxBatchEntries = Math.max(1, this.maxBatchEntries >> 1);
  }
}
