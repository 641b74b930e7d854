import * as v from 'valibot';
import { Bounds } from './bounds.js';
import { QuotaName, NodeName, RouteName, ServiceName } from '../names/index.js';
import { QuotaRule, Route, Service } from '../services/index.js';
import { Count } from '../schema/index.js';
import { Limits } from './limits.js';
import { Place } from './place.js';

/** The configuration of a fleet: one document, replaced as a whole or amended by operators. */
export const Configuration = v.strictObject({
  /** Requests and tokens that the fleet may take on in a minute; left out, both are derived from the capacity of the replicas. */
  ceiling: v.optional(v.strictObject({ requests: v.pipe(Count, v.minValue(1)), tokens: v.pipe(Count, v.minValue(1)) })),
  /** Time limits and ratios for the whole fleet; defaults see Bounds. */
  bounds: v.optional(Bounds, {}),
  /** Services by name. */
  services: v.record(ServiceName, Service),
  /** Quotas by name; they form a tree by their parents. */
  quotas: v.record(QuotaName, QuotaRule),
  /** Routes of opaque requests, by name. */
  routes: v.optional(v.record(RouteName, Route), {}),
  /** Limits of the proxies' HTTP servers. */
  limits: v.optional(Limits, {}),
  /** The operator's own revision number of this configuration; 0 (the default) where there is none. */
  revision: v.optional(Count, 0),
  /** The part of the operator's document that belongs to no route or service, kept unchanged to be read back. */
  sourceDocument: v.optional(v.unknown()),
  /** Whether controllers and stores join by registering themselves; false (the default): only those listed take part. */
  joining: v.optional(v.boolean(), false),
  /** Controller machines by node name. */
  controllers: v.optional(v.record(NodeName, Place), {}),
  /** Store machines by node name. */
  stores: v.optional(v.record(NodeName, Place), {}),
  /** Stores that are being drained for retirement: still members, but no shard is placed on them. */
  emptying: v.optional(v.array(NodeName), []),
  /** Shards of the batches, 1 to 64, 4 by default. Must not change once there are batches. */
  batchShards: v.optional(v.pipe(Count, v.minValue(1), v.maxValue(64)), 4),
  /** Shards of the service registry, 1 to 64, 2 by default. */
  serviceShards: v.optional(v.pipe(Count, v.minValue(1), v.maxValue(64)), 2),
  /** Replicas of each shard, 1 to 7, 3 by default. */
  copies: v.optional(v.pipe(Count, v.minValue(1), v.maxValue(7)), 3),
});
export type Configuration = v.InferOutput<typeof Configuration>;
