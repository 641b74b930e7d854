import type { Socket } from 'node:net';
import type { Clock } from '../clock/index.js';

/** Closes a socket that has not connected within `timeoutMs`: a machine that comes back would wait behind the pending attempt. */
export class ConnectAttempt {
  readonly #cancelTimeout: () => void;
  #succeeded = false;

  constructor(socket: Socket, clock: Clock, timeoutMs: number) {
    this.#cancelTimeout = clock.after(timeoutMs, () => {
      if (socket.connecting) socket.destroy();
    });
    socket.once('connect', () => {
      this.#succeeded = true;
      this.#cancelTimeout();
    });
  }

  /** Whether the socket connected; stays true after it is closed. */
  get succeeded(): boolean {
    return this.#succeeded;
  }

  /** Stops the time limit, for a socket that is closed. */
  cancel(): void {
    this.#cancelTimeout();
  }
}
