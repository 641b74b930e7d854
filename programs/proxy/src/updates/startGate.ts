import type { Clock } from '@pewterlanding/runtime';

interface StartGateOptions {
  readonly clock: Clock;
  /** Whether this front knows where to send tasks. */
  readonly ready: () => boolean;
  /** So long after its start a front that still knows nothing refuses at once. */
  readonly patienceMs: number;
}

/** More than these are refused at once: each holds its body in memory. */
const maxHeld = 1024;

/**
 * A front that has just started knows neither setup nor replicas for a moment. Tasks that come meanwhile are held shortly:
 * refused, they would all come again at the same time, and pay for it.
 */
export class StartGate {
  readonly #options: StartGateOptions;
  readonly #untilMs: number;
  readonly #held = new Set<() => void>();

  constructor(options: StartGateOptions) {
    this.#options = options;
    this.#untilMs = options.clock.nowMs() + options.patienceMs;
  }

  get held(): number {
    return this.#held.size;
  }

  /** Resolves once the front knows enough, or after `waitMs`. */
  pass(waitMs: number, abort: AbortSignal): Promise<void> {
    const { clock, ready } = this.#options;
    const maxMs = Math.min(waitMs, this.#untilMs - clock.nowMs());
    if (maxMs <= 0 || abort.aborted || this.#held.size >= maxHeld || ready()) return Promise.resolve();
    return new Promise((resolve) => {
      const go = (): void => {
        cancel();
        abort.removeEventListener('abort', go);
        this.#held.delete(go);
        resolve();
      };
      const cancel = clock.after(maxMs, go);
      abort.addEventListener('abort', go);
      this.#held.add(go);
    });
  }

  /** The news have changed. */
  look(): void {
    if (this.#held.size > 0 && this.#options.ready()) for (const go of [...this.#held]) go();
  }
}
