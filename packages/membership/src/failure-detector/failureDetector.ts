import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Transport } from '@pewterlanding/runtime';
import type { MembershipBounds } from '../protocol/index.js';
import { membershipCalls } from '../protocol/index.js';
import type { NodeRecord } from '../state-table/index.js';

interface FailureDetectorOptions {
  readonly self: NodeName;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: MembershipBounds;
  /** The record of a live node. */
  readonly nodeRecord: (name: NodeName) => NodeRecord | undefined;
  /** The nodes that watch a node. */
  readonly watchers: (name: NodeName) => readonly NodeName[];
  /** Called when a node neither answers this node nor any other watcher, unless its record changed meanwhile. */
  readonly onFailure: (nodeRecord: NodeRecord) => void;
}

/**
 * Watches a few other nodes by their heartbeats. As in SWIM, a node that misses its failure timeout is only suspected: it has failed
 * once it answers neither a ping nor, asked indirectly, any of its other watchers.
 */
export class FailureDetector {
  readonly #options: FailureDetectorOptions;
  readonly #heardMs = new Map<NodeName, number>();
  readonly #suspected = new Set<NodeName>();

  constructor(options: FailureDetectorOptions) {
    this.#options = options;
    const { transport } = options;
    transport.serve(membershipCalls.ping, async () => ({}));
    transport.serve(membershipCalls.pingFor, async ({ address }) => ({ heard: await this.#ping(address) }));
  }

  /** Watches exactly these nodes from now on. A new one has a whole failure timeout before it is suspected. */
  watch(names: readonly NodeName[]): void {
    for (const name of this.#heardMs.keys()) if (!names.includes(name)) this.#heardMs.delete(name);
    for (const name of names) if (!this.#heardMs.has(name)) this.#heardMs.set(name, this.#options.clock.nowMs());
  }

  /** Notes that a heartbeat came. */
  recordHeartbeat(name: NodeName): void {
    if (this.#heardMs.has(name)) this.#heardMs.set(name, this.#options.clock.nowMs());
  }

  /** Suspects the nodes that missed their failure timeout; called once in a heartbeat interval. */
  checkTimeouts(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [name, heardMs] of this.#heardMs)
      if (nowMs - heardMs > this.#options.bounds.failureTimeoutMs) void this.#confirmFailure(name);
  }

  async #confirmFailure(name: NodeName): Promise<void> {
    const { self, clock, nodeRecord, watchers, onFailure } = this.#options;
    const suspect = nodeRecord(name);
    if (suspect === undefined || this.#suspected.has(name)) return;
    this.#suspected.add(name);
    try {
      const others = watchers(name).filter((other) => other !== self);
      const pings = [this.#ping(suspect.address), ...others.map((other) => this.#pingThrough(other, suspect.address))];
      const answers = await Promise.all(pings);
      if (answers.some((isAlive) => isAlive)) this.#heardMs.set(name, clock.nowMs());
      else if (nodeRecord(name) === suspect) onFailure(suspect);
    } finally {
      this.#suspected.delete(name);
    }
  }

  async #ping(address: Address): Promise<boolean> {
    return this.#options.transport.ask(address, membershipCalls.ping, {}, this.#options.bounds.heartbeatMs).then(
      () => true,
      () => false,
    );
  }

  /** SWIM's indirect ping. */
  async #pingThrough(watcher: NodeName, address: Address): Promise<boolean> {
    const nodeRecord = this.#options.nodeRecord(watcher);
    if (nodeRecord === undefined) return false;
    return this.#options.transport.ask(nodeRecord.address, membershipCalls.pingFor, { address }, this.#options.bounds.heartbeatMs * 2).then(
      ({ heard }) => heard,
      () => false,
    );
  }
}
