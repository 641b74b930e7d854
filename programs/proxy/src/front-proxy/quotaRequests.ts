import { agentCalls } from '@pewterlanding/agent';
import type { QuotaGrant, QuotaRequest } from '@pewterlanding/agent';
import type { Address, QuotaName } from '@pewterlanding/model';
import { fleetCeiling, shareOf } from '@pewterlanding/rate-limit';
import type { Cost } from '@pewterlanding/rate-limit';
import type { Transport } from '@pewterlanding/runtime';
import type { RoutingState } from '../updates/index.js';
import type { InFlightReport } from './inFlightReport.js';

interface QuotaRequestsOptions {
  readonly transport: Transport;
  readonly agent: Address;
  readonly routingState: RoutingState;
  readonly inFlightReport: InFlightReport;
  /** Leases of items that this proxy holds, as `term.number`. */
  readonly leases: () => string[];
  readonly timeoutMs: number;
}

/** Sends quota requests to the counter by way of the agent, and computes the fallback while the counter is unreachable. */
export class QuotaRequests {
  readonly #options: QuotaRequestsOptions;

  constructor(options: QuotaRequestsOptions) {
    this.#options = options;
  }

  /** Rejects with a TransportError when no grant comes within the timeout. */
  send(requested: QuotaRequest['requested'], returned: QuotaRequest['returned']): Promise<QuotaGrant> {
    const { transport, agent, leases, inFlightReport, timeoutMs } = this.#options;
    const request = { requested: [...requested], returned: [...returned], leases: leases(), live: inFlightReport.liveTasks() };
    return transport.ask(agent, agentCalls.requestQuota, request, timeoutMs);
  }

  /** A quota's fixed share for this proxy, per minute; undefined for a quota that the configuration does not name. */
  fallbackRate(quota: QuotaName): Cost | undefined {
    const { routingState } = this.#options;
    const { configuration, tree } = routingState.tables;
    if (configuration === undefined || !tree.has(quota)) return undefined;
    const { fallbackRatio, fronts } = configuration.bounds;
    return shareOf(fleetCeiling(configuration, routingState.slots()), (tree.ownShare(quota) * fallbackRatio) / fronts);
  }
}
