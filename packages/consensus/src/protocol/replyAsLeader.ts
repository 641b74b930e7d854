import type { Address } from '@pewterlanding/model';
import { NotLeaderError } from './notLeaderError.js';

type LeaderReply<T> = { served: true; value: T } | { served: false; leader?: Address | undefined };

/** Runs what only a leader serves, and turns NotLeaderError into a response with the leader's address. Other errors pass. */
export async function replyAsLeader<T>(run: () => Promise<T>): Promise<LeaderReply<T>> {
  try {
    return { served: true, value: await run() };
  } catch (error) {
    if (error instanceof NotLeaderError) return { served: false, leader: error.leader };
    throw error;
  }
}
