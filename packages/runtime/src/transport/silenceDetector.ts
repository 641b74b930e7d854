import type { Clock } from '../clock/index.js';
import type { Connection } from './connection.js';

interface Silence {
  /** What the connection had received when the first request without an answer went out. */
  readonly receivedBytes: number;
  readonly sinceMs: number;
}

/**
 * Notices connections on which requests go out and nothing comes in. After a machine lost its power, TCP retransmits to it ever more
 * rarely, so that the old connection would hold up requests long after the machine is back.
 */
export class SilenceDetector {
  readonly #clock: Clock;
  readonly #silences = new WeakMap<Connection, Silence>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Called before each request on the connection. */
  requested(connection: Connection): void {
    if (this.#silences.get(connection)?.receivedBytes === connection.bytes) return;
    this.#silences.set(connection, { receivedBytes: connection.bytes, sinceMs: this.#clock.nowMs() });
  }

  /** Whether nothing has come in since a request that went out at least `forMs` milliseconds ago. */
  isSilent(connection: Connection, forMs: number): boolean {
    const silence = this.#silences.get(connection);
    if (silence === undefined || silence.receivedBytes !== connection.bytes) return false;
    return this.#clock.nowMs() - silence.sinceMs >= forMs;
  }

  forget(connection: Connection): void {
    this.#silences.delete(connection);
  }
}
