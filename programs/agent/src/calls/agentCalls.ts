import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { Update } from '@pewterlanding/membership';
import { QuotaRequest } from './quotaRequest.js';
import { QuotaGrant } from './quotaGrant.js';
import { LeaseOffer } from './leaseOffer.js';
import { Settlement } from './settlement.js';
import { ClockReading } from '../sharedState/clockReading.js';
import { InFlightByReplica } from '../sharedState/inFlightByReplica.js';

const Nothing = v.strictObject({});

/** Between a agent and the proxy beside it, and from the dispatcher to a agent. */
export const agentCalls = {
  /** Agent to proxy: news, all of it or what is new. The proxy says what it holds. */
  feed: defineCall(
    'agent.feed',
    v.strictObject({ whole: v.boolean(), updates: v.array(Update) }),
    v.strictObject({ instance: v.string(), version: Count, checksum: v.number(), clockReading: ClockReading, use: InFlightByReplica }),
  ),
  /** FrontProxy to agent: news that begins here, such as a replica's word. */
  tell: defineCall('agent.tell', v.strictObject({ updates: v.array(Update) }), Nothing),
  requestQuota: defineCall('agent.draw', v.omit(QuotaRequest, ['front']), QuotaGrant),
  settle: defineCall('agent.settle', v.strictObject({ settled: v.array(Settlement) }), Nothing),
  /** Dispatcher to agent, agent to proxy: leases under an epoch. */
  lease: defineCall(
    'agent.lease',
    v.strictObject({ term: Count, offers: v.array(LeaseOffer) }),
    v.strictObject({ taken: v.boolean(), term: Count }),
  ),
  /** The proxy is going: its agent goes too. */
  leave: defineCall('agent.leave', Nothing, Nothing),
};
