import type { Address, ServiceName } from '@pewterlanding/model';
import type { ReplicaRow } from '../routing/replicaRow.js';
import type { InFlightCounts } from './inFlightCounts.js';

type RequestKind = 'live' | 'batch';

/** Slots in use at replicas: this proxy's exactly, the other proxies' as of their last reports. */
export class SlotAccounting {
  readonly #inFlight: InFlightCounts;
  readonly #batchItems = new Map<ServiceName, number>();
  /** This proxy's requests in flight when the other proxies' reports were last received, by replica. */
  #inFlightAtReport: ReadonlyMap<Address, number> = new Map();

  constructor(inFlight: InFlightCounts) {
    this.#inFlight = inFlight;
  }

  begin(service: ServiceName, address: Address, kind: RequestKind): void {
    this.#inFlight.begin(address, kind);
    if (kind === 'batch') this.#batchItems.set(service, (this.#batchItems.get(service) ?? 0) + 1);
  }

  end(service: ServiceName, address: Address, kind: RequestKind): void {
    this.#inFlight.end(address, kind);
    if (kind === 'batch') this.#batchItems.set(service, (this.#batchItems.get(service) ?? 1) - 1);
  }

  /** Call when the other proxies' reports were received. */
  reportsReceived(): void {
    this.#inFlightAtReport = new Map(this.#inFlight.all());
  }

  hasBatchItems(service: ServiceName): boolean {
    return (this.#batchItems.get(service) ?? 0) !== 0;
  }

  /** Slots in use by this proxy and the others. */
  inUse({ replica, others }: ReplicaRow): number {
    return this.#inFlight.at(replica.address) + others;
  }

  /**
   * Whether this proxy may take one more of `limit` slots. Between two reports each of `proxyCount` proxies takes at most its even part
   * of the slots that were free at the last one, and at least one: otherwise all would take the same free slots.
   */
  isWithinShare({ replica, others }: ReplicaRow, limit: number, proxyCount: number): boolean {
    const atReport = this.#inFlightAtReport.get(replica.address) ?? 0;
    const share = Math.max(1, Math.floor((limit - others - atReport) / proxyCount));
    return this.#inFlight.at(replica.address) < atReport + share;
  }
}
