import type { Clock } from '@pewterlanding/runtime';

interface StartGateOptions {
  readonly clock: Clock;
  /** Whether this proxy has a configuration and replicas. */
  readonly ready: () => boolean;
  /** Time after the start from which tasks are not held any more. */
  readonly patienceMs: number;
}

/** Limit on the tasks held, each with its body in memory; further ones pass at once. */
const maxHeldTasks = 1024;

/**
 * Holds tasks while a proxy that has just started has no configuration or no replicas yet: rejected at once, all of them would be
 * sent again at the same time.
 */
export class StartGate {
  readonly #options: StartGateOptions;
  readonly #untilMs: number;
  readonly #held = new Set<() => void>();

  constructor(options: StartGateOptions) {
    this.#options = options;
    this.#untilMs = options.clock.nowMs() + options.patienceMs;
  }

  /** Tasks held now. */
  get held(): number {
    return this.#held.size;
  }

  /** Resolves once the proxy is ready, after `waitMs`, or on abort. */
  pass(waitMs: number, abort: AbortSignal): Promise<void> {
    const { clock, ready } = this.#options;
    const maxMs = Math.min(waitMs, this.#untilMs - clock.nowMs());
    if (maxMs <= 0 || abort.aborted || this.#held.size >= maxHeldTasks || ready()) return Promise.resolve();
    return new Promise((resolve) => {
      const pass = (): void => {
        cancel();
        abort.removeEventListener('abort', pass);
        this.#held.delete(pass);
        resolve();
      };
      const cancel = clock.after(maxMs, pass);
      abort.addEventListener('abort', pass);
      this.#held.add(pass);
    });
  }

  /** Lets the held tasks pass if the proxy is ready. Called when the routing tables have changed. */
  look(): void {
    if (this.#held.size === 0 || !this.#options.ready()) return;
    for (const pass of [...this.#held]) pass();
  }
}
