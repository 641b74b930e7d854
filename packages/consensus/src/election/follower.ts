import type { GroupMember } from '../group/groupMember.js';

const maxEntries = 256;

/** What a leader knows of another member. */
export class Follower {
  next: number;
  match = 0;
  /** The newest confirmation round that this member answered. */
  round = 0;
  heardMs: number;
  /** Since when it has been heard without a gap. */
  steadySinceMs: number;
  syncMs = 0;
  /** What it last synced was all that the log held when that was sent: it keeps up, however far a steady load has moved on since. */
  keepsUp = false;
  busy = false;
  again = false;
  /** Its machine answered that it is not this member: it has another member id now, or has not opened the shard yet. */
  refused = false;
  /** Entries in one batch at the most: fewer after a failure, which a frame too large for the wire may have been. */
  limit = maxEntries;

  constructor(
    public groupMember: GroupMember,
    lastIndex: number,
    nowMs: number,
  ) {
    this.next = lastIndex + 1;
    this.heardMs = nowMs;
    this.steadySinceMs = nowMs;
  }

  sent(): void {
    this.limit = maxEntries;
  }

  failed(): void {
    this.limit = Math.max(1, this.limit >> 1);
  }
}
