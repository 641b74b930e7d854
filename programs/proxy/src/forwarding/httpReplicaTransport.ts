import type { Clock } from '@pewterlanding/runtime';
import { ConnectionPool } from '../connections/connectionPool.js';
import { headerOf } from '../headers/headerOf.js';
import { defaultHeaderNames } from '../headers/defaultHeaderNames.js';
import type { ReplicaTask } from '../connections/replicaTask.js';
import type { ReplicaTransport } from '../connections/replicaTransport.js';
import type { RunEnd } from '../connections/runEnd.js';
import { StreamReader } from '../streaming/streamReader.js';
import { WholeReader } from '../streaming/wholeReader.js';

const connectMs = 1000;
const idleMs = 4000;
/** What is read of a return that is no success, so that its connection may be used again. */
const maxDumped = 65_536;

/** Inspected tasks to replicas by HTTP/1.1. A connection whose return was abandoned, wrong or another's is destroyed, never reused. */
export class HttpReplicaTransport implements ReplicaTransport {
  readonly #connections = new ConnectionPool({ connectMs, idleMs, idHeader: defaultHeaderNames.task });
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  run(task: ReplicaTask, piece: (data: string) => void, abort: AbortSignal): Promise<RunEnd> {
    if (abort.aborted) return Promise.resolve({ kind: 'unsent' });
    return new Promise((resolve) => this.#send(task, piece, abort, resolve));
  }

  close(): Promise<void> {
    return this.#connections.close();
  }

  #send(task: ReplicaTask, piece: (data: string) => void, abort: AbortSignal, resolve: (end: RunEnd) => void): void {
    const { id, address, rule } = task;
    const reader = rule.kind === 'whole' ? new WholeReader(task) : new StreamReader(task, piece);
    const untilMs = this.#clock.nowMs() + rule.runMs;
    let status = 0;
    let heardMs = Infinity;
    let over = false;
    let cancel = (): void => undefined;
    const finish = (end: RunEnd): void => {
      if (over) return;
      over = true;
      cancel();
      abort.removeEventListener('abort', leave);
      resolve(end);
    };
    const breakOff = (reason: string): void => {
      const { begun } = sending;
      sending.abort();
      finish(begun ? { kind: 'broken', reason, bytes: reader.bytes } : { kind: 'unsent' });
    };
    const leave = (): void => breakOff('given up');
    // One timer for both bounds: what was heard meanwhile only puts it off.
    const watch = (): void => {
      const leftMs = Math.min(untilMs, heardMs + rule.pieceMs) - this.#clock.nowMs();
      if (leftMs <= 0) breakOff('out of time');
      else cancel = this.#clock.after(leftMs, watch);
    };
    const body = Buffer.from(JSON.stringify({ service: task.service, input: JSON.parse(task.input) }));
    const headers = ['content-type', 'application/json', defaultHeaderNames.task, id];
    const sending = this.#connections.send(
      address,
      address,
      { id, method: 'POST', path: '/v1/run', headers, body },
      {
        head: (code, _reason, response) => {
          status = code;
          heardMs = this.#clock.nowMs();
          // Without a length or chunks nobody can tell a whole return from a cut one.
          const marked = headerOf(response, 'content-length') !== undefined || headerOf(response, 'transfer-encoding') !== undefined;
          if (status === 200 && rule.kind === 'whole' && !marked) breakOff('the return has no end mark');
        },
        data: (chunk) => {
          heardMs = this.#clock.nowMs();
          if (over) return;
          if (status === 200) {
            const wrong = reader.feed(chunk);
            if (wrong !== undefined) breakOff(wrong);
            return;
          }
          reader.bytes += chunk.length;
          if (reader.bytes <= maxDumped) return;
          sending.abort();
          finish({ kind: 'status', status });
        },
        end: () => finish(status === 200 ? reader.end() : { kind: 'status', status }),
        failed: (_error, how) =>
          finish(how === 'sent' ? { kind: 'broken', reason: 'the replica broke off', bytes: reader.bytes } : { kind: 'unsent' }),
      },
    );
    abort.addEventListener('abort', leave);
    watch();
  }
}
