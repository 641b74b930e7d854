/** Runs jobs one after another, in the order they came. */
export class SerialQueue {
  #last: Promise<unknown> = Promise.resolve();

  run<T>(job: () => Promise<T>): Promise<T> {
    const result = this.#last.then(job);
    this.#last = result.catch(() => undefined);
    return result;
  }
}
