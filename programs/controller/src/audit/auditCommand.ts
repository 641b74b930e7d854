import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** Stores the signed entry of a version; the first one stands. `key` is the public key that verifies it, as a JWK. */
export const AuditCommand = v.strictObject({
  kind: v.literal('audit'),
  version: Count,
  entry: v.string(),
  key: v.record(v.string(), v.unknown()),
});
export type AuditCommand = v.InferOutput<typeof AuditCommand>;
