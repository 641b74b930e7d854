import type { SimTime } from '../engine/index.js';

interface ModelRequest {
  readonly promptTokens: number;
  readonly document: string | undefined;
  readonly sharedTokens: number;
  readonly runMs: number;
  readonly firstEvent: () => void;
  readonly end: () => void;
}

interface ModelReplicaOptions {
  readonly time: SimTime;
  readonly slots: number;
  readonly promptTokensPerMs: number;
  /** Documents that its prompt cache holds. */
  readonly maxDocuments: number;
}

/** A replica without priorities: requests run in the order of arrival, prompts are read one after another, documents are kept (LRU). */
export class ModelReplica {
  readonly #options: ModelReplicaOptions;
  readonly #queue: ModelRequest[] = [];
  readonly #documents = new Set<string>();
  #running = 0;
  #readingUntilMs = 0;
  #tokensRead = 0;

  constructor(options: ModelReplicaOptions) {
    this.#options = options;
  }

  /** Tokens of shared documents that were read. */
  get tokensRead(): number {
    return this.#tokensRead;
  }

  submit(request: ModelRequest): void {
    this.#queue.push(request);
    this.#startNext();
  }

  #startNext(): void {
    const { time, slots, promptTokensPerMs } = this.#options;
    if (this.#running >= slots) return;
    const request = this.#queue.shift();
    if (request === undefined) return;
    this.#running += 1;
    const readMs = (request.promptTokens + this.#unreadTokens(request)) / promptTokensPerMs;
    this.#readingUntilMs = Math.max(this.#readingUntilMs, time.nowMs) + readMs;
    time.after(this.#readingUntilMs - time.nowMs, () => {
      request.firstEvent();
      time.after(request.runMs, () => {
        this.#running -= 1;
        request.end();
        this.#startNext();
      });
    });
  }

  #unreadTokens({ document, sharedTokens }: ModelRequest): number {
    if (document === undefined) return 0;
    const isKept = this.#documents.delete(document);
    this.#documents.add(document);
    for (const oldest of this.#documents) {
      if (this.#documents.size <= this.#options.maxDocuments) break;
      this.#documents.delete(oldest);
    }
    if (isKept) return 0;
    this.#tokensRead += sharedTokens;
    return sharedTokens;
  }
}
