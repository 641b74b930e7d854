import type { Follower } from './follower.js';
import type { Leadership } from './leadership.js';
import type { MemberState } from '../state/index.js';

/** A disk is slow where a sync takes more than this part of a failure timeout. */
const slowDiskRatio = 1 / 2;
/** A new leader's syncs have to take less than this part; a gap between the two keeps leadership from alternating. */
const fastDiskRatio = 1 / 4;
/** A follower is steady after so many failure timeouts without a gap in its replies. */
const steadyTimeouts = 2;

/**
 * The voter that should lead in place of this member, if any: one that comes before it in the group's order, or any where this
 * member's disk is slow. It has to be steady, caught up to the last entry, and its disk fast.
 */
export function transferTarget<C, R>(state: MemberState<C, R>, leadership: Leadership<C, R>): Follower | undefined {
  const { failureTimeoutMs } = state.options.bounds;
  const nowMs = state.clock.nowMs();
  const voterIds = state.voters().map((groupMember) => groupMember.identity.memberId);
  const ownPosition = state.position();
  const { syncMs, syncingSinceMs } = state;
  const isHanging = syncingSinceMs !== undefined && nowMs - syncingSinceMs > failureTimeoutMs;
  const isSlow = syncMs > failureTimeoutMs * slowDiskRatio || isHanging;
  return leadership.followers().find((follower) => {
    const position = voterIds.indexOf(follower.groupMember.identity.memberId);
    if (position < 0 || !(isSlow || position < ownPosition)) return false;
    if (nowMs - follower.heardMs >= failureTimeoutMs) return false;
    if (nowMs - follower.steadySinceMs <= failureTimeoutMs * steadyTimeouts) return false;
    return follower.matchIndex === leadership.lastIndex && follower.syncMs < failureTimeoutMs * fastDiskRatio;
  });
}
