import type { Member } from '@pewterlanding/consensus';

/** What the roles use of this node's member of the configuration shard, whatever commands the shard takes. */
export type RoleMember = Pick<Member<never, unknown>, 'isLeader' | 'group' | 'followers'>;
