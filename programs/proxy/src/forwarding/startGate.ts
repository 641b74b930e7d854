import type { Clock } from '@pewterlanding/runtime';

interface StartGateOptions {
  readonly clock: Clock;
  /** Whether this proxy knows a configuration and replicas. */
  readonly ready: () => boolean;
  /** How long after its start a proxy holds requests. */
  readonly patienceMs: number;
}

/** Bound of the held requests, as each keeps its body in memory; further ones are let through, to be refused. */
const maxHeld = 1024;

/**
 * Holds requests while a proxy that has just started knows neither configuration nor replicas. Refused at once, all clients would retry at
 * the same time.
 */
export class StartGate {
  readonly #options: StartGateOptions;
  readonly #untilMs: number;
  readonly #held = new Set<() => void>();

  constructor(options: StartGateOptions) {
    this.#options = options;
    this.#untilMs = options.clock.nowMs() + options.patienceMs;
  }

  /** Requests held now. */
  get held(): number {
    return this.#held.size;
  }

  /** Resolves once the proxy is ready, after `waitMs`, or when aborted. */
  wait(waitMs: number, abort: AbortSignal): Promise<void> {
    const { clock, ready } = this.#options;
    const maxMs = Math.min(waitMs, this.#untilMs - clock.nowMs());
    if (maxMs <= 0 || abort.aborted || this.#held.size >= maxHeld || ready()) return Promise.resolve();
    return new Promise((resolve) => {
      const release = (): void => {
        cancelTimeout();
        abort.removeEventListener('abort', release);
        this.#held.delete(release);
        resolve();
      };
      const cancelTimeout = clock.after(maxMs, release);
      abort.addEventListener('abort', release);
      this.#held.add(release);
    });
  }

  /** Call when the routing tables changed. */
  routingChanged(): void {
    if (this.#held.size === 0 || !this.#options.ready()) return;
    for (const release of [...this.#held]) release();
  }
}
