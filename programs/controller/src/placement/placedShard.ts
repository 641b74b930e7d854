import type { NodeName } from '@pewterlanding/model';
import type { PlacedMachine } from './placedMachine.js';

/** A shard that is to be placed. */
export interface PlacedShard {
  readonly shard: string;
  /** The role of the machines that may hold it. */
  readonly role: PlacedMachine['role'];
  readonly copies: number;
  /** The members of its group where no placement of it is stored yet. */
  readonly currentMembers: readonly NodeName[];
}
