import type { GroupMember } from '@pewterlanding/consensus';
import type { Address, NodeName } from '@pewterlanding/model';
import type { SimDisk } from '../disk/index.js';
import type { SimMachine } from '../engine/index.js';
import type { ModelNode } from './modelNode.js';
import type { WriteTrap } from './writeTrap.js';

/** A machine of the modelled group, outliving its processes. */
export interface ModelMachine {
  readonly name: NodeName;
  readonly address: Address;
  readonly machine: SimMachine;
  readonly disk: SimDisk;
  readonly trap: WriteTrap;
  /** The process, while one runs. */
  node: ModelNode | undefined;
  /** Gone for good; another one stands in its place. */
  retired: boolean;
  /** It left the group for another, and will be switched off. */
  replaced: boolean;
  /** Its process was told to end gracefully. */
  leaving: boolean;
  /** The group that its member's log was last seen to name. */
  group: readonly GroupMember[];
  /** The member id of its last disk that was whole, as far as it was seen. */
  memberId: string | undefined;
}
