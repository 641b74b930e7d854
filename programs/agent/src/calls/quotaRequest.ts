import * as v from 'valibot';
import { QuotaName, Count, NodeName, ServiceName } from '@pewterlanding/model';
import { Cost } from '@pewterlanding/rate-limit';

const Signed = v.pipe(v.number(), v.integer());

/** A front's word to the counter: what it needs, what it gives back, what it has under way. */
export const QuotaRequest = v.strictObject({
  front: NodeName,
  requested: v.array(v.strictObject({ quota: QuotaName, desired: Cost, minimum: Cost })),
  returned: v.array(v.strictObject({ quota: QuotaName, returned: v.strictObject({ requests: Signed, tokens: Signed }) })),
  /** Leases it holds, as `epoch.number`. */
  leases: v.array(v.string()),
  live: v.array(v.strictObject({ service: ServiceName, running: Count, waiting: Count })),
});
export type QuotaRequest = v.InferOutput<typeof QuotaRequest>;
