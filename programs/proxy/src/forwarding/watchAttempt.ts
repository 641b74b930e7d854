import type { Clock, Counters } from '@pewterlanding/runtime';
import type { AttemptEnd } from './attemptEnd.js';
import type { AttemptRegistry } from './attemptRegistry.js';
import type { UpstreamAttempt } from './upstreamAttempt.js';

interface WatchAttemptOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly registry: AttemptRegistry;
  readonly attempt: UpstreamAttempt;
  /** Fires when the client disconnects. */
  readonly abort: AbortSignal;
  readonly isIdempotent: boolean;
  /** The request's deadline. */
  readonly untilMs: number;
  /** Time without a response after which `overdue` is called. */
  readonly overdueMs: number;
  /** Silence after which an idempotent request is sent elsewhere if it may. */
  readonly silentMs: number;
  readonly overdue: () => void;
  /** Whether the request may be sent to another replica now; a true result spends a retry. */
  readonly mayRetryElsewhere: () => boolean;
}

/** Awaits the end of an attempt, bounded by the deadline, the client's connection and the replica's silence. */
export async function watchAttempt(options: WatchAttemptOptions): Promise<AttemptEnd> {
  const { clock, registry, attempt, abort, isIdempotent, untilMs, overdueMs, overdue } = options;
  const leave = (): void => attempt.giveUp('the client disconnected');
  abort.addEventListener('abort', leave);
  const cancels = [
    clock.after(Math.max(0, untilMs - clock.nowMs()), () => attempt.giveUp('out of time')),
    clock.after(overdueMs, () => {
      if (!attempt.hasResponse) overdue();
    }),
  ];
  if (isIdempotent) cancels.push(giveUpWhenSilent(options));
  registry.add(attempt, { isIdempotent });
  try {
    return await attempt.end;
  } finally {
    registry.delete(attempt);
    for (const cancel of cancels) cancel();
    abort.removeEventListener('abort', leave);
  }
}

/** Gives the attempt up once its replica has been silent for `silentMs` and the request may be sent elsewhere. Returns how to cancel. */
function giveUpWhenSilent({ clock, counters, attempt, silentMs, mayRetryElsewhere }: WatchAttemptOptions): () => void {
  let cancel = (): void => undefined;
  const check = (): void => {
    const remainingMs = attempt.heardMs + silentMs - clock.nowMs();
    if (remainingMs <= 0 && !attempt.isPaused && mayRetryElsewhere()) {
      counters.add('exchange.silent');
      attempt.giveUp('silent for too long');
    } else cancel = clock.after(remainingMs > 0 ? remainingMs : silentMs, check);
  };
  check();
  return () => cancel();
}
