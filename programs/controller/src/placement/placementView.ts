import type { NodeName } from '@pewterlanding/model';
import type { PlacedMachine } from './placedMachine.js';
import type { PlacedShard } from './placedShard.js';

/** What a placement is computed from, besides the one in force. */
export interface PlacementView {
  /** The machines that membership has as live. */
  readonly live: readonly (PlacedMachine & { readonly name: NodeName })[];
  /** Whether a machine has been absent for so long that its copies may be placed elsewhere. */
  readonly isLost: (name: NodeName) => boolean;
  readonly shards: readonly PlacedShard[];
  /** Whether a shard may be placed on fewer machines than it has copies; not while more may be about to join. */
  readonly allowsFewerCopies: boolean;
}
