import type { Configuration } from '@pewterlanding/model';
import type { OpenLease } from '@pewterlanding/store';
import type { LeaseState } from './leaseState.js';
import { reservationId } from './reservationId.js';

/** An opaque item may be run on several replicas in turn under one lease. */
const maxRunsOfRoute = 8;
/** Added to the time that a run may take, for its settlement to arrive. */
const settlementTimeouts = 2;

/** Since when each open lease is in its state, by this node's monotonic clock, and which have exceeded the time allowed for it. */
export class LeaseAges {
  readonly #failureTimeoutMs: number;
  readonly #states = new Map<string, { readonly state: LeaseState; readonly sinceMs: number }>();

  constructor(failureTimeoutMs: number) {
    this.#failureTimeoutMs = failureTimeoutMs;
  }

  /** Notes the lease's present state; true if it has been in it for longer than the bounds allow. */
  isOverdue(lease: OpenLease, state: LeaseState, configuration: Configuration, nowMs: number): boolean {
    const id = reservationId(lease);
    const known = this.#states.get(id);
    const sinceMs = known?.state === state ? known.sinceMs : nowMs;
    this.#states.set(id, { state, sinceMs });
    return nowMs - sinceMs > this.#allowedMs(lease, state, configuration);
  }

  /** Forgets all leases but these. */
  retain(open: ReadonlySet<string>): void {
    for (const id of this.#states.keys()) if (!open.has(id)) this.#states.delete(id);
  }

  #allowedMs(lease: OpenLease, state: LeaseState, configuration: Configuration): number {
    if (state === 'dispatched') return configuration.bounds.staleMs;
    if (state === 'lost') return this.#failureTimeoutMs;
    const maxRuns = lease.route === undefined ? 1 : maxRunsOfRoute;
    const runMs = configuration.services[lease.service]?.runMs ?? 0;
    return runMs * maxRuns + this.#failureTimeoutMs * settlementTimeouts;
  }
}
