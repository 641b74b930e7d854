import { InFlightCounts, ReplicaSelector, replicaKey } from '@pewterlanding/proxy';
import type { Tables } from '@pewterlanding/proxy';
import type { Address, NodeName } from '@pewterlanding/model';
import { Counters } from '@pewterlanding/runtime';
import type { Clock } from '@pewterlanding/runtime';

interface ModelFrontOptions {
  readonly name: NodeName;
  readonly zone: string;
  readonly clock: Clock;
  readonly random: () => number;
  /** The tables without the other fronts' reports. */
  readonly tables: Tables;
  readonly fronts: number;
  readonly idleMs: number;
  readonly knowsConnections: boolean;
}

/** One front of the selection model: the shipped selector, with connections that are only counted. */
export class ModelFront {
  readonly name: NodeName;
  readonly zone: string;
  readonly selector: ReplicaSelector;
  readonly inFlight = new InFlightCounts();
  readonly #options: ModelFrontOptions;
  /** Times at which idle connections are closed, by replica. */
  readonly #idle = new Map<string, number[]>();
  #tables: Tables;
  #opened = 0;
  /** Batch items whose lease is held here. */
  leases = 0;

  constructor(options: ModelFrontOptions) {
    const { name, zone, clock, random, fronts } = options;
    this.#options = options;
    this.name = name;
    this.zone = zone;
    this.#tables = { ...options.tables, fronts };
    const tables = (): Tables => this.#tables;
    this.selector = new ReplicaSelector({
      clock,
      random,
      zone,
      tables,
      inFlight: this.inFlight,
      hasIdleConnection: (key) => options.knowsConnections && this.#hasIdle(key),
      counters: new Counters(),
    });
  }

  get connectionsOpened(): number {
    return this.#opened;
  }

  /** The sums of what the other fronts reported, by address. */
  receive(others: (address: Address) => number): void {
    const rows = [...this.#options.tables.replicas].map(
      ([service, of]) => [service, of.map((row) => ({ ...row, others: others(row.replica.address) }))] as const,
    );
    this.#tables = { ...this.#tables, replicas: new Map(rows) };
    this.selector.heard();
    this.selector.wake();
  }

  /** Takes an idle connection or opens one. */
  connect(key: string): void {
    const open = this.#open(key);
    if (open.pop() === undefined) this.#opened += 1;
    this.#idle.set(key, open);
  }

  release(key: string): void {
    this.#idle.set(key, [...this.#open(key), this.#options.clock.nowMs() + this.#options.idleMs]);
  }

  /** The replica with this key. */
  indexOf(key: string): number {
    return [...this.#options.tables.replicas.values()].flat().findIndex(({ replica }) => replicaKey(replica) === key);
  }

  #hasIdle(key: string): boolean {
    return this.#open(key).length > 0;
  }

  #open(key: string): number[] {
    const nowMs = this.#options.clock.nowMs();
    return (this.#idle.get(key) ?? []).filter((untilMs) => untilMs > nowMs);
  }
}
