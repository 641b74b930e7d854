import * as v from 'valibot';
import type { Address } from '@pewterlanding/model';
import type { Membership } from '@pewterlanding/membership';
import { TransportError } from '@pewterlanding/runtime';
import type { Counters, Transport } from '@pewterlanding/runtime';
import { agentCalls, agentToControllerCalls } from '../calls/index.js';
import type { QuotaGrant, QuotaRequest, Settlement } from '../calls/index.js';
import { SingletonRole, updateKeys } from '../sharedState/index.js';

interface RelayOptions {
  readonly membership: Membership;
  readonly transport: Transport;
  readonly proxy: Address;
  readonly heartbeatMs: number;
  readonly counters: Counters;
}

/** Timeout of a relayed call, in heartbeats. */
const relayTimeoutHeartbeats = 2;

/**
 * Relays between the proxy and the node that holds the dispatcher role: quota requests and settlements to it, leases from it.
 * Term rule: grants and leases under an older term than the newest known are refused.
 */
export class ControllerRelay {
  readonly #options: RelayOptions;

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /** Serves the relayed calls. */
  serve(): void {
    const { transport } = this.#options;
    transport.serve(agentCalls.requestQuota, (quotaRequest) => this.#requestQuota(quotaRequest));
    transport.serve(agentCalls.settle, async ({ settled }) => {
      this.#settle(settled);
      return {};
    });
    this.#serveLeases();
  }

  /** Who holds the dispatcher role, as far as this node knows. */
  singletonRole(): SingletonRole | undefined {
    const read = v.safeParse(SingletonRole, this.#options.membership.stateTable.get(updateKeys.singletonRole('dispatch'))?.value);
    return read.success ? read.output : undefined;
  }

  #serveLeases(): void {
    const { transport, proxy, heartbeatMs, counters } = this.#options;
    transport.serve(agentCalls.lease, async (body) => {
      const singletonRole = this.singletonRole();
      if (singletonRole !== undefined && body.term < singletonRole.term) {
        counters.add('agent.staleLease');
        return { taken: false, term: singletonRole.term };
      }
      return transport.ask(proxy, agentCalls.lease, body, heartbeatMs * relayTimeoutHeartbeats);
    });
  }

  /** Throws a TransportError if the role's holder is unknown, silent, or answers under an older term. */
  async #requestQuota(quotaRequest: Omit<QuotaRequest, 'front'>): Promise<QuotaGrant> {
    const { membership, transport, heartbeatMs } = this.#options;
    const singletonRole = this.singletonRole();
    if (singletonRole === undefined) throw new TransportError('silent', 'nobody holds the counter');
    const quotaGrant = await transport.ask(
      singletonRole.address,
      agentToControllerCalls.requestQuota,
      { ...quotaRequest, front: membership.name },
      heartbeatMs * relayTimeoutHeartbeats,
    );
    // The role may have moved while the request was under way.
    const newestTerm = this.singletonRole()?.term ?? 0;
    if (quotaGrant.term < newestTerm) throw new TransportError('refused', 'a counter of an older epoch');
    return quotaGrant;
  }

  #settle(settled: readonly Settlement[]): void {
    const singletonRole = this.singletonRole();
    if (singletonRole === undefined) return;
    this.#options.transport.tell(singletonRole.address, agentToControllerCalls.settle, { settled: [...settled] });
  }
}
