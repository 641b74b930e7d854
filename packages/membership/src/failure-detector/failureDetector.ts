import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Transport } from '@pewterlanding/runtime';
import type { NodeRecord } from '../state-table/nodeRecord.js';
import type { MembershipBounds } from '../protocol/membershipBounds.js';
import { membershipCalls } from '../protocol/membershipCalls.js';

interface FailureDetectorOptions {
  readonly self: NodeName;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: MembershipBounds;
  /** The card of a node that is live. */
  readonly nodeRecord: (name: NodeName) => NodeRecord | undefined;
  /** Those who watch a node. */
  readonly watchers: (name: NodeName) => readonly NodeName[];
  /** Nobody hears that node; called unless its card changed while others were asked. */
  readonly gone: (nodeRecord: NodeRecord) => void;
}

/** Watches a few other nodes by their heartbeats. Silence is taken for an end only once no other watcher hears the silent one either. */
export class FailureDetector {
  readonly #options: FailureDetectorOptions;
  readonly #heardMs = new Map<NodeName, number>();
  readonly #doubted = new Set<NodeName>();

  constructor(options: FailureDetectorOptions) {
    this.#options = options;
    const { transport } = options;
    transport.serve(membershipCalls.ping, async () => ({}));
    transport.serve(membershipCalls.pingFor, async ({ address }) => ({ heard: await this.#pings(address) }));
  }

  /** Watches these from now on. A new one gets a whole timeout before it is doubted. */
  watch(names: readonly NodeName[]): void {
    for (const name of this.#heardMs.keys()) if (!names.includes(name)) this.#heardMs.delete(name);
    for (const name of names) if (!this.#heardMs.has(name)) this.#heardMs.set(name, this.#options.clock.nowMs());
  }

  /** A heartbeat came. */
  heard(name: NodeName): void {
    if (this.#heardMs.has(name)) this.#heardMs.set(name, this.#options.clock.nowMs());
  }

  /** Doubts those that have been silent for the timeout; called once a beat. */
  look(): void {
    const now = this.#options.clock.nowMs();
    for (const [name, heardMs] of this.#heardMs) if (now - heardMs > this.#options.bounds.failureTimeoutMs) void this.#doubt(name);
  }

  async #doubt(name: NodeName): Promise<void> {
    const { self, clock, nodeRecord, watchers, gone } = this.#options;
    const silent = nodeRecord(name);
    if (silent === undefined || this.#doubted.has(name)) return;
    this.#doubted.add(name);
    try {
      const others = watchers(name).filter((other) => other !== self);
      const asked = [this.#pings(silent.address), ...others.map((other) => this.#pingsThrough(other, silent.address))];
      const heard = await Promise.all(asked);
      if (heard.some((one) => one)) this.#heardMs.set(name, clock.nowMs());
      else if (nodeRecord(name) === silent) gone(silent);
    } finally {
      this.#doubted.delete(name);
    }
  }

  async #pings(address: Address): Promise<boolean> {
    return this.#options.transport.ask(address, membershipCalls.ping, {}, this.#options.bounds.heartbeatMs).then(
      () => true,
      () => false,
    );
  }

  async #pingsThrough(other: NodeName, address: Address): Promise<boolean> {
    const nodeRecord = this.#options.nodeRecord(other);
    if (nodeRecord === undefined) return false;
    return this.#options.transport.ask(nodeRecord.address, membershipCalls.pingFor, { address }, this.#options.bounds.heartbeatMs * 2).then(
      ({ heard }) => heard,
      () => false,
    );
  }
}
