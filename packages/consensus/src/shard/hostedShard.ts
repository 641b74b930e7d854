import type { Member } from '../member/index.js';
import type { GroupReconciler } from '../reconfiguration/index.js';

/** A shard that is open on this node: its state machine, its member, and what reconciles its group when it leads. */
export interface HostedShard<C, R, M> {
  readonly stateMachine: M;
  readonly member: Member<C, R>;
  readonly reconciler: GroupReconciler<C, R>;
}
