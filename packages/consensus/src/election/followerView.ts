import type { GroupMember } from '../group/groupMember.js';

/** What a leader knows of another member, for changes of the group and for operators. */
export interface FollowerView {
  readonly groupMember: GroupMember;
  readonly behind: number;
  readonly heardMs: number;
  readonly refused: boolean;
  readonly caughtUp: boolean;
  /** Whether it has answered anything in this term. */
  readonly answered: boolean;
}
