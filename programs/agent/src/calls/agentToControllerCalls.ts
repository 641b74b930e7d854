import * as v from 'valibot';
import { Count, NodeName } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { QuotaRequest } from './quotaRequest.js';
import { QuotaGrant } from './quotaGrant.js';
import { Settlement } from './settlement.js';
import { ClockReading } from '../sharedState/index.js';

const Nothing = v.strictObject({});

/** Calls from agents to controllers. */
export const agentToControllerCalls = {
  /** Which configuration version a front has in force, with a reading of the front's own clock. Not acknowledged. */
  held: defineCall('controller.held', v.strictObject({ front: NodeName, version: Count, clockReading: ClockReading }), Nothing),
  /** Asks the configuration shard's leader for a freshness grant; for a front that got none through the shared state lately. */
  fresh: defineCall(
    'controller.fresh',
    v.strictObject({ front: NodeName, version: Count, clockReading: ClockReading }),
    v.strictObject({ term: Count, count: Count, version: Count, clockReading: ClockReading }),
  ),
  /** Quota requests, refunds and leases in flight; returns grants under the counter's term. */
  requestQuota: defineCall('controller.draw', QuotaRequest, QuotaGrant),
  /** How leases ended. Not acknowledged. */
  settle: defineCall('controller.settle', v.strictObject({ settled: v.array(Settlement) }), Nothing),
};
