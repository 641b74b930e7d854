import type { Address } from '@pewterlanding/model';
import type { Call, Clock, Transport } from '@pewterlanding/runtime';
import { pause, TransportError } from '@pewterlanding/runtime';

type LeaderReply<T> = { served: true; value: T } | { served: false; leader?: Address | undefined };

interface LeaderFinderOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  /** The addresses of a shard's members, as far as they are known. */
  readonly members: (shard: string) => readonly Address[];
  /** How long one attempt may take; how long all may take is up to each call. */
  readonly tryMs: number;
}

/** How many hints in a row are followed. */
const maxHints = 2;
/** After all members were tried, the pause is this part of an attempt's time. */
const pausesPerAttempt = 20;

/** What is known of the attempts of one call. */
interface AttemptRecord {
  /** An attempt was sent and not answered: it may have had its effect, or may yet have it. */
  unclear: boolean;
}

/**
 * Finds a shard's leader and calls it, trying the other members while the leader changes. A call may be sent more than once, so it has
 * to be idempotent.
 */
export class LeaderFinder {
  readonly #options: LeaderFinderOptions;
  readonly #leaders = new Map<string, Address>();
  /** When each member last left an attempt unanswered. */
  readonly #unansweredMs = new Map<Address, number>();

  constructor(options: LeaderFinderOptions) {
    this.#options = options;
  }

  /**
   * Calls the leader. `extraMs` is added to the time for one attempt, for large or long-polling calls. Rejects with TransportError:
   * 'silent' where no leader answered within `waitMs`, 'unreadable' at once.
   */
  async ask<B, T>(
    shard: string,
    call: Call<B, LeaderReply<T>>,
    body: B,
    waitMs: number,
    extraMs = 0,
    attempts?: AttemptRecord,
  ): Promise<T> {
    const { clock, transport, tryMs } = this.#options;
    const expiryMs = clock.nowMs() + waitMs;
    let candidates = this.#order(shard);
    let hint = this.#leaders.get(shard);
    let hints = 0;
    for (;;) {
      const to = hint ?? candidates.shift();
      hint = undefined;
      const leftMs = expiryMs - clock.nowMs();
      // Less than a millisecond is not enough for an attempt, and may be too little for a timer to advance the clock.
      if (leftMs < 1) throw new TransportError('silent', `${call.name}: no leader of ${shard} in ${waitMs} ms`);
      const response =
        to === undefined
          ? undefined
          : await transport
              .ask(to, call, body, Math.min(tryMs + extraMs, leftMs))
              .catch((error: unknown) => rethrowUnlessRetriable(error, attempts));
      if (to !== undefined) this.#record(shard, to, response);
      if (response?.served === true) return response.value;
      this.#leaders.delete(shard);
      // A hint is followed at once, but only twice in a row, since two members may name each other.
      if (response !== undefined && response.leader !== undefined && response.leader !== to && hints < maxHints) {
        hint = response.leader;
        hints += 1;
        continue;
      }
      hints = 0;
      if (candidates.length > 0) continue;
      await pause(clock, Math.min(leftMs, tryMs / pausesPerAttempt));
      candidates = this.#order(shard);
    }
  }

  /** Notes who answered and who leads. */
  #record(shard: string, to: Address, response: LeaderReply<unknown> | undefined): void {
    if (response === undefined) this.#unansweredMs.set(to, this.#options.clock.nowMs());
    else this.#unansweredMs.delete(to);
    if (response?.served === true) this.#leaders.set(shard, to);
  }

  /**
   * The members in the order in which they are tried: those that left an attempt unanswered most recently come last. Calls whose whole
   * wait is shorter than an attempt would otherwise all end at the same failed member, while the others know the leader.
   */
  #order(shard: string): Address[] {
    const silentMs = (address: Address): number => this.#unansweredMs.get(address) ?? Number.NEGATIVE_INFINITY;
    return [...this.#options.members(shard)].sort((a, b) => (silentMs(a) === silentMs(b) ? 0 : silentMs(a) - silentMs(b)));
  }
}

/** Timeouts, lost connections and refusals are retried; other errors are the caller's. */
function rethrowUnlessRetriable(error: unknown, attempts: AttemptRecord | undefined): undefined {
  if (attempts !== undefined && !(error instanceof TransportError && error.reason === 'unsent')) attempts.unclear = true;
  if (error instanceof TransportError && error.reason !== 'unreadable') return undefined;
  throw error;
}
