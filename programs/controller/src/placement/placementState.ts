import type { GroupMember } from '@pewterlanding/consensus';
import type { Configuration } from '@pewterlanding/model';
import type { Placement } from './placement.js';

/** What the placement reads of the configuration shard's state on this node. */
export interface PlacementState {
  readonly placement: Placement;
  /** Undefined until a first configuration is confirmed. */
  readonly configuration: Configuration | undefined;
  /** The first group of each shard that was bootstrapped. */
  readonly bootstrapped: Readonly<Record<string, readonly GroupMember[]>>;
  readonly table: () => { readonly shards: Readonly<Record<string, unknown>> };
}
