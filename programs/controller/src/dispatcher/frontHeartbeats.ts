import type { QuotaRequest } from '@pewterlanding/agent';
import type { NodeName } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import { leaseKey } from '@pewterlanding/store';
import type { Lease } from '@pewterlanding/store';

interface FrontHeartbeat {
  readonly atMs: number;
  readonly live: QuotaRequest['live'];
  readonly leases: ReadonlySet<string>;
}

/** The last quota request of each front. It serves as the front's heartbeat to the dispatcher, for it lists its leases and its load. */
export class FrontHeartbeats {
  readonly #clock: Clock;
  readonly #failureTimeoutMs: number;
  readonly #heartbeats = new Map<NodeName, FrontHeartbeat>();

  constructor(clock: Clock, failureTimeoutMs: number) {
    this.#clock = clock;
    this.#failureTimeoutMs = failureTimeoutMs;
  }

  /** Notes a quota request of a front, received at `nowMs` of the monotonic clock. */
  record({ front, live, leases }: QuotaRequest, nowMs: number): void {
    this.#heartbeats.set(front, { atMs: nowMs, live, leases: new Set(leases) });
  }

  /** Whether the front sent a quota request within the failure timeout. */
  isLive(front: NodeName): boolean {
    const heartbeat = this.#heartbeats.get(front);
    return heartbeat !== undefined && this.#clock.nowMs() - heartbeat.atMs < this.#failureTimeoutMs;
  }

  /** Whether a live front does not list a lease as its own: it has restarted, or never got the lease. */
  deniesLease(lease: Lease): boolean {
    return this.isLive(lease.front) && this.#heartbeats.get(lease.front)?.leases.has(leaseKey(lease)) === false;
  }

  /** Live requests by service, running and waiting, over all live fronts. */
  liveRequests(): ReadonlyMap<string, number> {
    const requests = new Map<string, number>();
    for (const [front, heartbeat] of this.#heartbeats) {
      if (!this.isLive(front)) continue;
      for (const { service, running, waiting } of heartbeat.live) requests.set(service, (requests.get(service) ?? 0) + running + waiting);
    }
    return requests;
  }
}
