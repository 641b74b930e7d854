import type { Follower } from './follower.js';
import type { Leadership } from './leadership.js';
import type { MemberState } from '../state/memberState.js';

/** A disk whose syncs take more of a failure timeout than this is slow. */
const slowDiskRatio = 1 / 2;
/** A disk is fit to lead only well below that, or leadership would go to and fro. */
const fitDiskRatio = 1 / 4;
/** A follower is steady once it was heard without a gap for so many failure timeouts. */
const steadyTimeouts = 2;

/** The voter that should lead instead: one that is placed before this member, or any where this disk is slow; it must have caught up. */
export function transferTarget<C, R>(state: MemberState<C, R>, leadership: Leadership<C, R>): Follower | undefined {
  const { failureTimeoutMs } = state.options.bounds;
  const nowMs = state.clock.nowMs();
  const order = state.voters().map((groupMember) => groupMember.identity.memberId);
  const own = state.position();
  const syncing = state.syncingSinceMs;
  const slow = state.syncMs > failureTimeoutMs * slowDiskRatio || (syncing !== undefined && nowMs - syncing > failureTimeoutMs);
  return leadership.followers().find((follower) => {
    const position = order.indexOf(follower.groupMember.identity.memberId);
    if (position < 0 || !(slow || position < own)) return false;
    if (nowMs - follower.heardMs >= failureTimeoutMs) return false;
    if (nowMs - follower.steadySinceMs <= failureTimeoutMs * steadyTimeouts) return false;
    return follower.match === leadership.lastIndex && follower.syncMs < failureTimeoutMs * fitDiskRatio;
  });
}
