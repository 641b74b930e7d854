import * as v from 'valibot';
import { Count, PlanId } from '@pewterlanding/model';

/** The signed content for one version. `previous` is the SHA-256 of the signed entry before it, so none can be removed or moved. */
export const AuditEntry = v.strictObject({
  version: Count,
  plan: PlanId,
  atMs: v.number(),
  /** SHA-256 of the differences, as JSON. */
  differences: v.string(),
  previous: v.string(),
});
export type AuditEntry = v.InferOutput<typeof AuditEntry>;
