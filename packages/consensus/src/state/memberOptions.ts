import type { GroupMember, Identity } from '../group/index.js';
import type { ShardFile } from '../log/index.js';
import type { ShardEnvironment } from './shardEnvironment.js';
import type { StateMachine } from './stateMachine.js';

/** What a member of a shard is opened with. */
export interface MemberOptions<C, R> extends ShardEnvironment {
  readonly shard: string;
  readonly file: ShardFile;
  readonly self: Identity;
  /** The members the shard was bootstrapped with; empty on a member that is yet to be added. */
  readonly bootstrap: readonly GroupMember[];
  readonly stateMachine: StateMachine<C, R>;
  /** Called with the term when this member starts to serve as leader, and with undefined when it stops. */
  readonly leadershipChanged?: (term: number | undefined) => void;
  /** Called after entries were applied. */
  readonly applied?: () => void;
  /** Called on the leader when a learner has caught up, or when a process answers that it is not the member expected at its address. */
  readonly noticed?: () => void;
}
