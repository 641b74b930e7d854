import * as v from 'valibot';
import type { ReplicaTask, RunEnd } from '../connections/index.js';
import type { InspectedReader } from './inspectedReader.js';

const WholeReturn = v.object({ task: v.string(), output: v.unknown() });
const WholeReturnText = v.pipe(v.string(), v.parseJson(), WholeReturn);

/** Reads the whole response to an inspected request: JSON with the request's id and the output. */
export class WholeReader implements InspectedReader {
  readonly #task: ReplicaTask;
  readonly #chunks: Buffer[] = [];
  bytes = 0;

  constructor(task: ReplicaTask) {
    this.#task = task;
  }

  feed(chunk: Buffer): string | undefined {
    this.bytes += chunk.length;
    if (this.bytes > this.#task.rule.maxReturnBytes) return 'the return is too large';
    this.#chunks.push(chunk);
    return undefined;
  }

  end(): RunEnd {
    const { bytes } = this;
    const read = v.safeParse(WholeReturnText, Buffer.concat(this.#chunks).toString('utf8'));
    if (!read.success) return { kind: 'broken', reason: 'the return cannot be read', bytes };
    if (read.output.task !== this.#task.id) return { kind: 'broken', reason: 'the return is for another task', bytes };
    return { kind: 'done', body: JSON.stringify(read.output.output), bytes };
  }
}
