import type { ShardEnvironment } from '@pewterlanding/consensus';
import type { Address } from '@pewterlanding/model';
import type { Membership } from '@pewterlanding/membership';
import type { AuditSigner } from './audit/auditSigner.js';

/** What a controller is made of; clock, network and disk come from outside. */
export interface ControllerOptions extends ShardEnvironment {
  readonly membership: Membership;
  /** How often the leader of the configuration shard extends the freshness of fronts, in milliseconds. */
  readonly heartbeatMs: number;
  /** The controller machines that bootstrap the configuration shard. */
  readonly seeds: readonly Address[];
  /** Signs the audit trail; without it there is none. */
  readonly signer?: AuditSigner;
  /** Makes the ids of shard members; left out, random ones. */
  readonly mintMemberId?: () => string;
  /** Whether all disks are empty because the fleet starts for the first time. With false an empty disk never bootstraps a shard. */
  readonly bootstrap?: boolean;
  /** Copies of every shard where machines join by announcing themselves; left out, the configuration's `copies`. */
  readonly copies?: number;
  /** How often replicas that announce themselves send a heartbeat, in milliseconds; left out, the failure timeout. */
  readonly replicaHeartbeatMs?: number;
}
