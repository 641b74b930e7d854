import type { Address } from '@pewterlanding/model';

/** Requests that this proxy has in flight at replicas, by address; shared by all users of the replicas. */
export class InFlightCounts {
  readonly #all = new Map<Address, number>();
  readonly #batch = new Map<Address, number>();

  begin(address: Address, kind: 'live' | 'batch'): void {
    add(this.#all, address, 1);
    if (kind === 'batch') add(this.#batch, address, 1);
  }

  end(address: Address, kind: 'live' | 'batch'): void {
    add(this.#all, address, -1);
    if (kind === 'batch') add(this.#batch, address, -1);
  }

  at(address: Address): number {
    return this.#all.get(address) ?? 0;
  }

  liveAt(address: Address): number {
    return this.at(address) - (this.#batch.get(address) ?? 0);
  }

  /** A live view, without addresses that have none. */
  all(): ReadonlyMap<Address, number> {
    return this.#all;
  }
}

function add(counts: Map<Address, number>, address: Address, change: number): void {
  const count = (counts.get(address) ?? 0) + change;
  if (count <= 0) counts.delete(address);
  else counts.set(address, count);
}
