import type { Configuration } from '@pewterlanding/model';
import { leaseKey } from '@pewterlanding/store';
import type { OpenLease } from '@pewterlanding/store';

type State = 'waits' | 'lost' | 'runs';

/** An opaque item may go on at several replicas under one lease. */
const routeRuns = 8;

/** How long each open lease has been as it is, by the dispatcher's clock, and which have been so for too long. */
export class LeaseWatch {
  readonly #failureTimeoutMs: number;
  readonly #since = new Map<string, { readonly state: State; readonly sinceMs: number }>();

  constructor(failureTimeoutMs: number) {
    this.#failureTimeoutMs = failureTimeoutMs;
  }

  /** A lease as a text, with its item. */
  static idOf({ ref, lease }: Pick<OpenLease, 'ref' | 'lease'>): string {
    return `${ref.batch} ${ref.position} ${leaseKey(lease)}`;
  }

  overdue(lease: OpenLease, state: State, configuration: Configuration, nowMs: number): boolean {
    const id = LeaseWatch.idOf(lease);
    const known = this.#since.get(id);
    const sinceMs = known?.state === state ? known.sinceMs : nowMs;
    this.#since.set(id, { state, sinceMs });
    const runs = lease.route === undefined ? 1 : routeRuns;
    const runMs = (configuration.services[lease.service]?.runMs ?? 0) * runs + this.#failureTimeoutMs * 2;
    return nowMs - sinceMs > { waits: configuration.bounds.staleMs, lost: this.#failureTimeoutMs, runs: runMs }[state];
  }

  /** Keeps only the leases that are open. */
  keep(open: ReadonlySet<string>): void {
    for (const id of this.#since.keys()) if (!open.has(id)) this.#since.delete(id);
  }
}
