import type { Address } from '@pewterlanding/model';

/** What this front has under way at replicas, by address, whatever path it came by. */
export class InFlightCounts {
  readonly #running = new Map<Address, number>();
  readonly #batches = new Map<Address, number>();

  begin(address: Address, kind: 'live' | 'batch'): void {
    count(this.#running, address, 1);
    if (kind === 'batch') count(this.#batches, address, 1);
  }

  end(address: Address, kind: 'live' | 'batch'): void {
    count(this.#running, address, -1);
    if (kind === 'batch') count(this.#batches, address, -1);
  }

  at(address: Address): number {
    return this.#running.get(address) ?? 0;
  }

  liveAt(address: Address): number {
    return this.at(address) - (this.#batches.get(address) ?? 0);
  }

  all(): ReadonlyMap<Address, number> {
    return this.#running;
  }
}

function count(counts: Map<Address, number>, address: Address, by: number): void {
  const now = (counts.get(address) ?? 0) + by;
  if (now <= 0) counts.delete(address);
  else counts.set(address, now);
}
