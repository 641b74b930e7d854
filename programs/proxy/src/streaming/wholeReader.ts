import * as v from 'valibot';
import type { ReplicaTask } from '../connections/replicaTask.js';
import type { RunEnd } from '../connections/runEnd.js';

const WholeReturn = v.object({ task: v.string(), output: v.unknown() });

/** Reads the body of a whole return of an inspected task. */
export class WholeReader {
  readonly #task: ReplicaTask;
  readonly #chunks: Buffer[] = [];
  bytes = 0;

  constructor(task: ReplicaTask) {
    this.#task = task;
  }

  /** Returns what is wrong, if anything. */
  feed(chunk: Buffer): string | undefined {
    this.bytes += chunk.length;
    if (this.bytes > this.#task.rule.maxReturnBytes) return 'the return is too large';
    this.#chunks.push(chunk);
    return undefined;
  }

  end(): RunEnd {
    const { bytes } = this;
    const text = Buffer.concat(this.#chunks).toString('utf8');
    const read = v.safeParse(v.pipe(v.string(), v.parseJson(), WholeReturn), text);
    if (!read.success) return { kind: 'broken', reason: 'the return cannot be read', bytes };
    if (read.output.task !== this.#task.id) return { kind: 'broken', reason: 'the return is for another task', bytes };
    return { kind: 'done', body: JSON.stringify(read.output.output), bytes };
  }
}
