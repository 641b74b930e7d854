import type { ShardEnvironment } from '@pewterlanding/consensus';
import type { Address } from '@pewterlanding/model';
import type { Membership } from '@pewterlanding/membership';
import type { AuditSigner } from './audit/auditSigner.js';

/** What a controller is made of. */
export interface ControllerOptions extends ShardEnvironment {
  readonly membership: Membership;
  readonly heartbeatMs: number;
  /** The controller machines that found the setup shard. */
  readonly seeds: readonly Address[];
  /** Signs the audit trail; without it no trail is kept. */
  readonly signer?: AuditSigner;
  readonly mintMemberId?: () => string;
  /** Whether all disks are empty because the fleet starts for the first time. With false an empty disk never founds anything. */
  readonly bootstrap?: boolean;
  /** Copies of every shard where machines join by announcing themselves; left out, the setup's `copies`. */
  readonly copies?: number;
  /** How often replicas that have a life say a word to the controller. */
  readonly replicaHeartbeatMs?: number;
}
