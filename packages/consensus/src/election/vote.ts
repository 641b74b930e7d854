import type { GroupMember } from '../group/index.js';

/** A vote that was granted, with the position of the last entry in the voter's log. */
export interface Vote {
  readonly groupMember: GroupMember;
  readonly last: { readonly term: number; readonly index: number };
}
