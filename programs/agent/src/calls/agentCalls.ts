import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { Update } from '@pewterlanding/membership';
import { QuotaRequest } from './quotaRequest.js';
import { QuotaGrant } from './quotaGrant.js';
import { LeaseOffer } from './leaseOffer.js';
import { Settlement } from './settlement.js';
import { ProxyStatus } from './proxyStatus.js';

const Nothing = v.strictObject({});

/** Calls between an agent and its proxy, and from the dispatcher to an agent. */
export const agentCalls = {
  /** Agent to proxy: updates of the shared state, or the whole of it. The proxy answers with its status. */
  feed: defineCall('agent.feed', v.strictObject({ whole: v.boolean(), updates: v.array(Update) }), ProxyStatus),
  /** Proxy to agent: updates that begin at the proxy, such as a replica's announcement. */
  tell: defineCall('agent.tell', v.strictObject({ updates: v.array(Update) }), Nothing),
  /** Proxy to agent: a quota request, relayed to the counter. */
  requestQuota: defineCall('agent.draw', v.omit(QuotaRequest, ['front']), QuotaGrant),
  /** Proxy to agent: settled leases, relayed to the counter. Not acknowledged by it. */
  settle: defineCall('agent.settle', v.strictObject({ settled: v.array(Settlement) }), Nothing),
  /** Dispatcher to agent, agent to proxy: leases under a term. `taken: false` if a newer term is known. */
  lease: defineCall(
    'agent.lease',
    v.strictObject({ term: Count, offers: v.array(LeaseOffer) }),
    v.strictObject({ taken: v.boolean(), term: Count }),
  ),
  /** Proxy to agent: the proxy has finished, so both leave. */
  leave: defineCall('agent.leave', Nothing, Nothing),
};
