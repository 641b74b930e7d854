import type { ShardMap } from '@pewterlanding/consensus';
import type { SingletonRole } from '@pewterlanding/agent';
import type { Configuration } from '@pewterlanding/model';
import type { QuotaTree } from '@pewterlanding/rate-limit';
import type { ReplicaRow } from './replicaRow.js';
import type { RouteTable } from './routeTable.js';

/** All a proxy routes by, immutable and swapped whole. */
export interface Tables {
  readonly version: number;
  readonly configuration: Configuration | undefined;
  readonly tree: QuotaTree;
  /** The setup's routes, compiled. */
  readonly routeTable: RouteTable;
  readonly replicas: ReadonlyMap<string, readonly ReplicaRow[]>;
  readonly shards: ShardMap;
  readonly singletonRole: SingletonRole | undefined;
  /** Fronts that tell their use, this one included. */
  readonly fronts: number;
  /** Usual output of services, as learned. */
  readonly outputTokens: ReadonlyMap<string, number>;
}
