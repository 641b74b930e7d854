import type { AuditHead } from './auditHead.js';
import type { Confirmation } from './confirmation.js';

/** What the audit trail needs of the configuration shard's state. */
export interface AuditedState {
  /** The version in force. */
  readonly version: number;
  readonly auditHead: AuditHead;
  /** The public keys that entries of the trail name. */
  readonly auditKeys: readonly Record<string, unknown>[];
  /** The newest confirmations, signed or not, oldest first. */
  readonly history: readonly Confirmation[];
}
