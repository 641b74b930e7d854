import type { Member } from '@pewterlanding/consensus';
import type { NodeName } from '@pewterlanding/model';
import type { Placement } from './placement.js';

type PlacementCommand =
  | { readonly kind: 'place'; readonly placement: Placement }
  | { readonly kind: 'empty'; readonly name: NodeName; readonly away: NodeName[]; readonly minimum: number };
interface PlacementReturn {
  readonly empty?: 'started' | 'unknown' | 'too few' | undefined;
}

/** What the placement uses of this node's member of the configuration shard, and the commands that it proposes there. */
export interface PlacementMember extends Pick<Member<never, unknown>, 'isLeader' | 'term' | 'group' | 'confirmLeadership'> {
  /** Resolves once the command is applied; the id makes a retry harmless. */
  propose(id: string, command: PlacementCommand): Promise<PlacementReturn>;
}
