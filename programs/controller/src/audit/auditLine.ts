import * as v from 'valibot';
import { Confirmation } from './confirmation.js';

/** One version in the audit trail: what was confirmed, and its signed entry. */
export const AuditLine = v.strictObject({ confirmation: Confirmation, entry: v.string() });
export type AuditLine = v.InferOutput<typeof AuditLine>;
