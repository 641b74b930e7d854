import * as v from 'valibot';
import { QuotaName, Count, NodeName, ServiceName } from '@pewterlanding/model';
import { Cost } from '@pewterlanding/rate-limit';

const Signed = v.pipe(v.number(), v.integer());

/** A front's request to the counter: what it needs, what it returns, and what it has in flight. */
export const QuotaRequest = v.strictObject({
  front: NodeName,
  requested: v.array(v.strictObject({ quota: QuotaName, desired: Cost, minimum: Cost })),
  /** Unused amounts; negative for use beyond the estimates. */
  returned: v.array(v.strictObject({ quota: QuotaName, returned: v.strictObject({ requests: Signed, tokens: Signed }) })),
  /** Leases it holds, as `term.number`. */
  leases: v.array(v.string()),
  /** Live requests by service, for the distribution of slots. */
  live: v.array(v.strictObject({ service: ServiceName, running: Count, waiting: Count })),
});
export type QuotaRequest = v.InferOutput<typeof QuotaRequest>;
