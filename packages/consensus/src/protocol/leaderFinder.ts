import type { Address } from '@pewterlanding/model';
import type { Call, Clock, Transport } from '@pewterlanding/runtime';
import { pause, TransportError } from '@pewterlanding/runtime';

type LeaderReply<T> = { served: true; value: T } | { served: false; leader?: Address | undefined };

interface LeaderFinderOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  /** The members of a shard, as far as is known. */
  readonly members: (shard: string) => readonly Address[];
  /** One try's wait; the whole wait is the caller's. */
  readonly tryMs: number;
}

/** What became of the tries of one ask. */
interface Trail {
  /** One was sent and brought no word: it may have had its effect, or may have it yet. */
  unclear: boolean;
}

/** Finds the leader of a shard and asks it, trying others while it moves. What is asked must bear being sent twice. */
export class LeaderFinder {
  readonly #options: LeaderFinderOptions;
  readonly #leaders = new Map<string, Address>();
  /** When each member last left a try unanswered. */
  readonly #silentMs = new Map<Address, number>();

  constructor(options: LeaderFinderOptions) {
    this.#options = options;
  }

  /** `extraMs` is what one try may take longer than others, for what is large or held back. */
  async ask<B, T>(shard: string, call: Call<B, LeaderReply<T>>, body: B, waitMs: number, extraMs = 0, trail?: Trail): Promise<T> {
    const { clock, transport, tryMs } = this.#options;
    const expiryMs = clock.nowMs() + waitMs;
    let round = this.#order(shard);
    let hint = this.#leaders.get(shard);
    let hints = 0;
    for (;;) {
      const to = hint ?? round.shift();
      hint = undefined;
      const leftMs = expiryMs - clock.nowMs();
      // Less than a millisecond buys no try, and may be too little for time to move at all.
      if (leftMs < 1) throw new TransportError('silent', `${call.name}: no leader of ${shard} in ${waitMs} ms`);
      const response =
        to === undefined
          ? undefined
          : await transport.ask(to, call, body, Math.min(tryMs + extraMs, leftMs)).catch((error: unknown) => only(error, trail));
      if (to !== undefined && response === undefined) this.#silentMs.set(to, clock.nowMs());
      if (to !== undefined && response !== undefined) this.#silentMs.delete(to);
      if (response?.served === true) {
        if (to !== undefined) this.#leaders.set(shard, to);
        return response.value;
      }
      this.#leaders.delete(shard);
      // A hint is followed at once, but not round in circles.
      if (response !== undefined && response.leader !== undefined && response.leader !== to && hints < 2) {
        hint = response.leader;
        hints += 1;
        continue;
      }
      hints = 0;
      if (round.length > 0) continue;
      await pause(clock, Math.min(leftMs, tryMs / 20));
      round = this.#order(shard);
    }
  }

  /**
   * The members in the order in which they are asked: those that were silent last come last. Asks whose whole wait is shorter than
   * one member's silence would otherwise all end at the same one, while the others know the leader.
   */
  #order(shard: string): Address[] {
    const silentMs = (address: Address): number => this.#silentMs.get(address) ?? Number.NEGATIVE_INFINITY;
    return [...this.#options.members(shard)].sort((a, b) => (silentMs(a) === silentMs(b) ? 0 : silentMs(a) - silentMs(b)));
  }
}

/** Silence and lost circuits are tried again; a refusal by the leader itself is the caller's to see. */
function only(error: unknown, trail: Trail | undefined): undefined {
  if (trail !== undefined && !(error instanceof TransportError && error.reason === 'unsent')) trail.unclear = true;
  if (error instanceof TransportError && error.reason !== 'unreadable') return undefined;
  throw error;
}
