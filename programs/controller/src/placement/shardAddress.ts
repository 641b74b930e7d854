import type { Address, NodeName } from '@pewterlanding/model';

/** A machine on which a shard's member is placed. */
export interface ShardAddress {
  readonly name: NodeName;
  readonly address: Address;
}
