import type { ServiceName } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import type { PendingRequest } from './pendingRequest.js';

interface PendingQueueOptions<Request> {
  readonly clock: Clock;
  /** Whether `one` is served before `other`, which was queued earlier; left out, first come, first served. */
  readonly precedes?: (one: Request, other: Request) => boolean;
  /** Whether a service keeps its place in `services` when its last request goes, until `dropIfEmpty`. */
  readonly keepsEmpty: boolean;
}

interface Wait<Result> {
  readonly waitMs: number;
  readonly abort: AbortSignal;
  readonly onTimeout: () => Result;
  readonly onAbort: () => Result;
}

/** Requests that wait for a slot, one queue per service, each with a timeout and an abort signal. Owners bound its size. */
export class PendingQueue<Request, Result> {
  readonly #options: PendingQueueOptions<Request>;
  readonly #queues = new Map<ServiceName, PendingRequest<Request, Result>[]>();
  #size = 0;

  constructor(options: PendingQueueOptions<Request>) {
    this.#options = options;
  }

  /** Requests waiting, over all services. */
  get size(): number {
    return this.#size;
  }

  /** In the order in which their queues were begun. */
  services(): ServiceName[] {
    return [...this.#queues.keys()];
  }

  /** A copy, in queue order. */
  of(service: ServiceName): PendingRequest<Request, Result>[] {
    return [...(this.#queues.get(service) ?? [])];
  }

  /** Queues a request; resolves when it is settled, times out or is aborted. */
  wait(service: ServiceName, request: Request, wait: Wait<Result>): Promise<Result> {
    const { waitMs, abort, onTimeout, onAbort } = wait;
    return new Promise((resolve) => {
      const leave = (): void => void this.settle(pending, onAbort());
      const cancelTimeout = this.#options.clock.after(waitMs, () => this.settle(pending, onTimeout()));
      abort.addEventListener('abort', leave);
      const pending: PendingRequest<Request, Result> = {
        service,
        request,
        resolve: (result) => {
          cancelTimeout();
          abort.removeEventListener('abort', leave);
          resolve(result);
        },
      };
      this.#insert(pending);
    });
  }

  /** Takes a request out of its queue and resolves it; false when it was settled before. */
  settle(pending: PendingRequest<Request, Result>, result: Result): boolean {
    const queue = this.#queues.get(pending.service);
    const index = queue?.indexOf(pending) ?? -1;
    if (queue === undefined || index < 0) return false;
    // Out of the queue first: a request that was refused must never be sent.
    queue.splice(index, 1);
    this.#size -= 1;
    if (!this.#options.keepsEmpty) this.dropIfEmpty(pending.service);
    pending.resolve(result);
    return true;
  }

  dropIfEmpty(service: ServiceName): void {
    if (this.#queues.get(service)?.length === 0) this.#queues.delete(service);
  }

  #insert(pending: PendingRequest<Request, Result>): void {
    const { precedes } = this.#options;
    const queue = this.#queues.get(pending.service) ?? [];
    this.#queues.set(pending.service, queue);
    const index = precedes === undefined ? -1 : queue.findIndex((other) => precedes(pending.request, other.request));
    queue.splice(index < 0 ? queue.length : index, 0, pending);
    this.#size += 1;
  }
}
