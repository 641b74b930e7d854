interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** Virtual time: events in order of their time, and of their making where times are equal. */
export class SimTime {
  readonly #heap: Event[] = [];
  #nowMs = 0;
  #order = 0;
  #events = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  get events(): number {
    return this.#events;
  }

  after(waitMs: number, run: () => void): () => void {
    this.#order += 1;
    const event: Event = { atMs: this.#nowMs + Math.max(0, waitMs), order: this.#order, run, cancelled: false };
    this.#push(event);
    return () => {
      event.cancelled = true;
    };
  }

  /** Runs all events up to a time. Between two events every promise that can go on does. */
  async runTo(untilMs: number): Promise<void> {
    for (let next = this.#heap[0]; next !== undefined && next.atMs <= untilMs; next = this.#heap[0]) {
      this.#pop();
      if (next.cancelled) continue;
      this.#nowMs = next.atMs;
      this.#events += 1;
      next.run();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.#nowMs = untilMs;
  }

  #before(a: Event, b: Event): boolean {
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  }

  #push(event: Event): void {
    const heap = this.#heap;
    let at = heap.push(event) - 1;
    while (at > 0) {
      const above = (at - 1) >> 1;
      const parent = heap[above];
      if (parent === undefined || !this.#before(event, parent)) break;
      heap[at] = parent;
      at = above;
    }
    heap[at] = event;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let at = 0;
    for (;;) {
      const left = heap[at * 2 + 1];
      const right = heap[at * 2 + 2];
      if (left === undefined) break;
      const rightFirst = right !== undefined && this.#before(right, left);
      const child = rightFirst ? right : left;
      if (!this.#before(child, last)) break;
      heap[at] = child;
      at = at * 2 + (rightFirst ? 2 : 1);
    }
    heap[at] = last;
  }
}
