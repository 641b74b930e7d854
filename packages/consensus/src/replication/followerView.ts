import type { GroupMember } from '../group/index.js';

/** A leader's view of another member, for changes of the group and for operators. */
export interface FollowerView {
  readonly groupMember: GroupMember;
  /** How many entries of the leader's log it is not known to hold. */
  readonly entriesBehind: number;
  /** When its last reply came, by the leader's clock. */
  readonly heardMs: number;
  /** The process at its address is not this member. */
  readonly isRefused: boolean;
  readonly isCaughtUp: boolean;
  /** Whether it has replied to an append in this term. */
  readonly hasReplied: boolean;
}
