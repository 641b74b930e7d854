import type { Member } from '@pewterlanding/consensus';
import { ShardMap } from '@pewterlanding/consensus';
import type { Membership } from '@pewterlanding/membership';

/** Publishes the members of a shard that is led here in the shared state, if they or the leader's term changed. */
export function announceGroup<C, R>(membership: Membership, member: Member<C, R>): void {
  const key = ShardMap.groupKey(member.shard);
  const known = membership.stateTable.get(key);
  const members = [...member.group()];
  const same = known !== undefined && known.version[0] === member.term && JSON.stringify(known.value) === JSON.stringify(members);
  if (!same)
    membership.put({
      key,
      version: [member.term, known?.version[0] === member.term ? known.version[1] + 1 : 0],
      volatile: false,
      value: members,
    });
}
