import type { Clock } from '@pewterlanding/runtime';
import { ConnectionPool } from '../connections/index.js';
import type { ReplicaTask, ReplicaTransport, RunEnd } from '../connections/index.js';
import { defaultHeaderNames } from '../headers/index.js';
import { InspectedAttempt } from './inspectedAttempt.js';

const connectMs = 1000;
const idleMs = 4000;

/** Sends inspected requests over HTTP/1.1. A connection whose response was given up, invalid or for another request is not used again. */
export class HttpReplicaTransport implements ReplicaTransport {
  readonly #connections = new ConnectionPool({ connectMs, idleMs, idHeader: defaultHeaderNames.task });
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  run(task: ReplicaTask, piece: (data: string) => void, abort: AbortSignal): Promise<RunEnd> {
    if (abort.aborted) return Promise.resolve({ kind: 'unsent' });
    return new Promise((ended) => {
      new InspectedAttempt({ clock: this.#clock, connections: this.#connections, task, piece, abort, ended }).send();
    });
  }

  close(): Promise<void> {
    return this.#connections.close();
  }
}
