import { membershipCalls } from '@pewterlanding/membership';
import type { StateTable, Update } from '@pewterlanding/membership';
import { hashOf } from '@pewterlanding/model';
import { every } from '@pewterlanding/runtime';
import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Transport } from '@pewterlanding/runtime';

interface InitialUpdateOptions {
  readonly front: NodeName;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Controllers; some may be down. */
  readonly seeds: readonly Address[];
  readonly stateTable: StateTable;
  readonly heartbeatMs: number;
  readonly apply: (updates: readonly Update[]) => void;
}

/** How often in a heartbeat a controller is asked: while all nodes start together, the first ones have no updates yet. */
const requestsPerHeartbeat = 16;
/** After so many heartbeats no controller is asked any more: the agent is up by then, or there is no first configuration yet. */
const maxHeartbeats = 3;

/**
 * Fetches updates from controllers while the proxy starts, until its agent sends them. The two share one core and the agent starts
 * last: waiting for it doubles the time until the proxy can serve. The updates are the same that the agent would send, and only
 * the newest of each key is kept, so it does not matter which node they come from.
 */
export class InitialUpdate {
  readonly #options: InitialUpdateOptions;
  readonly #stops: readonly (() => void)[];
  /** Controllers with a request in flight: one without power never answers, and requests to the others must not wait for it. */
  readonly #pending = new Set<Address>();
  #requests: number;
  #closed = false;

  constructor(options: InitialUpdateOptions) {
    this.#options = options;
    const { clock, heartbeatMs, front } = options;
    // Proxies that start together begin at different controllers.
    this.#requests = hashOf(front);
    this.#stops = [
      every(clock, heartbeatMs / requestsPerHeartbeat, () => void this.#fetch()),
      clock.after(heartbeatMs * maxHeartbeats, () => this.close()),
    ];
    void this.#fetch();
  }

  /** Called when the agent has sent a configuration: no more updates are fetched. */
  close(): void {
    this.#closed = true;
    for (const stop of this.#stops) stop();
  }

  async #fetch(): Promise<void> {
    const { transport, counters, stateTable, heartbeatMs, seeds, apply: take } = this.#options;
    const seed = seeds[this.#requests % seeds.length];
    this.#requests += 1;
    if (this.#closed || seed === undefined || this.#pending.has(seed)) return;
    this.#pending.add(seed);
    try {
      const { differing } = await transport.ask(seed, membershipCalls.digest, { digest: [...stateTable.digest] }, heartbeatMs);
      if (differing.length === 0 || this.#closed) return;
      const request = { from: transport.here, buckets: differing, versions: stateTable.versions(differing) };
      const { newer } = await transport.ask(seed, membershipCalls.compare, request, heartbeatMs);
      if (this.#closed) return;
      counters.add('proxy.firstNews');
      take(newer);
    } catch {
      counters.add('proxy.firstNewsFailed');
    } finally {
      this.#pending.delete(seed);
    }
  }
}
