import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** The whole trail, which anybody may verify: compact JWS entries in order, and the public keys (JWK) of their signers. */
export const AuditTrail = v.strictObject({
  version: Count,
  entries: v.array(v.string()),
  keys: v.array(v.record(v.string(), v.unknown())),
});
export type AuditTrail = v.InferOutput<typeof AuditTrail>;
