import type { GroupReconciler } from '../reconfiguration/groupReconciler.js';
import type { Member } from './member.js';

/** A shard as a machine keeps it: what it holds, its member, and who tends its group. */
export interface HostedShard<C, R, M> {
  readonly stateMachine: M;
  readonly member: Member<C, R>;
  readonly reconciler: GroupReconciler<C, R>;
}
