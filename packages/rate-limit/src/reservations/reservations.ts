import type { QuotaAccounts } from '../quotas/index.js';
import type { Reservation } from './reservation.js';

/**
 * Open reservations by id. Each is refunded, settled or forgotten once; a repeat for the same id does nothing,
 * so refunds may be delivered twice.
 */
export class Reservations {
  readonly #accounts: QuotaAccounts;
  readonly #open = new Map<string, Reservation>();

  constructor(accounts: QuotaAccounts) {
    this.#accounts = accounts;
  }

  has(id: string): boolean {
    return this.#open.has(id);
  }

  all(): ReadonlyMap<string, Reservation> {
    return this.#open;
  }

  /** Records a cost that was taken from the buckets. */
  add(id: string, reservation: Reservation): void {
    this.#open.set(id, reservation);
    this.#accounts.get(reservation.quota)?.addUsed(reservation.cost);
  }

  /** Records a reservation that the counter before this one accounted for. */
  restore(id: string, reservation: Reservation): void {
    this.#open.set(id, reservation);
  }

  /** The item did not run: its whole cost goes back. */
  refund(id: string): void {
    const reservation = this.#remove(id);
    if (reservation === undefined) return;
    this.#accounts.get(reservation.from)?.put(reservation.cost);
    this.#accounts.get(reservation.quota)?.subtractUsed(reservation.cost);
  }

  /** The item ran: the difference between the estimate and the `tokens` it used is returned, or taken into debt. */
  settle(id: string, tokens: number): void {
    const reservation = this.#remove(id);
    if (reservation === undefined) return;
    const unused = { requests: 0, tokens: reservation.cost.tokens - tokens };
    this.#accounts.get(reservation.from)?.put(unused);
    this.#accounts.get(reservation.quota)?.subtractUsed(unused);
  }

  /** The lease closed without a settlement: the estimate stays spent. */
  forget(id: string): void {
    this.#open.delete(id);
  }

  #remove(id: string): Reservation | undefined {
    const reservation = this.#open.get(id);
    this.#open.delete(id);
    return reservation;
  }
}
