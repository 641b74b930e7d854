import type { Clock } from './clock.js';

/** The clock of the operating system, by Node's timers. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }

  after(waitMs: number, run: () => void): () => void {
    const timer = setTimeout(run, Math.max(0, waitMs));
    return () => clearTimeout(timer);
  }
}
