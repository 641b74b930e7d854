import * as v from 'valibot';
import { Count, NodeName } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { QuotaRequest } from './quotaRequest.js';
import { QuotaGrant } from './quotaGrant.js';
import { Settlement } from './settlement.js';
import { ClockReading } from '../sharedState/clockReading.js';

const Nothing = v.strictObject({});

/** What fronts say to the controller. */
export const agentToControllerCalls = {
  /** Which version a front holds, stamped with its own clock. */
  held: defineCall('controller.held', v.strictObject({ front: NodeName, version: Count, clockReading: ClockReading }), Nothing),
  /** Asked of the setup's leader by a front that the tree has not told for a while. */
  fresh: defineCall(
    'controller.fresh',
    v.strictObject({ front: NodeName, version: Count, clockReading: ClockReading }),
    v.strictObject({ term: Count, count: Count, version: Count, clockReading: ClockReading }),
  ),
  requestQuota: defineCall('controller.draw', QuotaRequest, QuotaGrant),
  settle: defineCall('controller.settle', v.strictObject({ settled: v.array(Settlement) }), Nothing),
};
