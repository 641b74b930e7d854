/** Runs asynchronous jobs one at a time, in the order in which they were added. A failed job does not stop the queue. */
export class SerialQueue {
  #last: Promise<unknown> = Promise.resolve();

  /** Resolves or rejects with the job's own result. */
  run<T>(job: () => Promise<T>): Promise<T> {
    const result = this.#last.then(job);
    this.#last = result.catch(() => undefined);
    return result;
  }
}
