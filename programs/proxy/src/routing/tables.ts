import type { ShardMap } from '@pewterlanding/consensus';
import type { SingletonRole } from '@pewterlanding/agent';
import type { Configuration } from '@pewterlanding/model';
import type { QuotaTree } from '@pewterlanding/rate-limit';
import type { ReplicaRow } from './replicaRow.js';
import type { RouteTable } from './routeTable.js';

/** Everything that a proxy routes by. Immutable: each change makes new tables. */
export interface Tables {
  readonly version: number;
  readonly configuration: Configuration | undefined;
  readonly tree: QuotaTree;
  /** The configuration's routes. */
  readonly routeTable: RouteTable;
  /** By service. */
  readonly replicas: ReadonlyMap<string, readonly ReplicaRow[]>;
  readonly shards: ShardMap;
  readonly singletonRole: SingletonRole | undefined;
  /** Proxies that report the slots they use, this one included. */
  readonly fronts: number;
  /** Output tokens of a typical request, by service, as observed. */
  readonly outputTokens: ReadonlyMap<string, number>;
}
