import type { Replica } from '@pewterlanding/agent';
import type { Clock } from '@pewterlanding/runtime';
import type { ReplicaInstance } from './replicaInstance.js';

/** The instances that a controller watches, by their key in the state table. */
export class ReplicaInstances {
  readonly #clock: Clock;
  readonly #instances = new Map<string, ReplicaInstance>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#instances.size;
  }

  get(key: string): ReplicaInstance | undefined {
    return this.#instances.get(key);
  }

  entries(): IterableIterator<[string, ReplicaInstance]> {
    return this.#instances.entries();
  }

  replicas(): readonly Replica[] {
    return [...this.#instances.values()].map(({ replica }) => replica);
  }

  /** A new instance counts as just heard from, so that all its heartbeats have to be missed before it is judged. */
  add(key: string, replica: Replica): void {
    this.#instances.set(key, { replica, counter: replica.incarnation, heartbeatMs: this.#clock.nowMs() });
  }

  delete(key: string): void {
    this.#instances.delete(key);
  }

  /** Notes a heartbeat. One that is reported again by another controller has the same counter and does not count anew. */
  recordHeartbeat(instance: ReplicaInstance, counter: number): void {
    if (counter < instance.counter) return;
    if (counter > instance.counter) instance.heartbeatMs = this.#clock.nowMs();
    instance.counter = counter;
  }
}
