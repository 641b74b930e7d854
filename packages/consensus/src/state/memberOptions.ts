import type { Identity } from '../group/identity.js';
import type { StateMachine } from './stateMachine.js';
import type { ShardFile } from '../log/shardFile.js';
import type { ShardEnvironment } from '../shard/shardEnvironment.js';
import type { GroupMember } from '../group/groupMember.js';

/** What a member is made of. */
export interface MemberOptions<C, R> extends ShardEnvironment {
  readonly shard: string;
  readonly file: ShardFile;
  readonly self: Identity;
  /** The members the shard was bootstrapped with; empty on a member that is yet to be added. */
  readonly bootstrap: readonly GroupMember[];
  readonly stateMachine: StateMachine<C, R>;
  /** Told when this member begins to serve as leader, and when it ends. */
  readonly leadershipChanged?: (term: number | undefined) => void;
  /** Told after commands were applied. */
  readonly applied?: () => void;
  /** On the leader: told when a newcomer has caught up, or when a machine says that it is not the member that sat there. */
  readonly noticed?: () => void;
}
