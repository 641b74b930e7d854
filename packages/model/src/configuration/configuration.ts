import * as v from 'valibot';
import { Bounds } from './bounds.js';
import { QuotaName } from '../names/quotaName.js';
import { QuotaRule } from '../services/quotaRule.js';
import { Count } from '../schema/count.js';
import { Limits } from './limits.js';
import { NodeName } from '../names/nodeName.js';
import { Place } from './place.js';
import { Route } from '../services/route.js';
import { RouteName } from '../names/routeName.js';
import { Service } from '../services/service.js';
import { ServiceName } from '../names/serviceName.js';

/** What operators intend: the whole of it, as one document. */
export const Configuration = v.strictObject({
  /** The fleet's ceiling a minute; left out, it is worked out from the replicas. */
  ceiling: v.optional(v.strictObject({ requests: v.pipe(Count, v.minValue(1)), tokens: v.pipe(Count, v.minValue(1)) })),
  bounds: v.optional(Bounds, {}),
  services: v.record(ServiceName, Service),
  quotas: v.record(QuotaName, QuotaRule),
  /** Routes of opaque tasks, by name. */
  routes: v.optional(v.record(RouteName, Route), {}),
  limits: v.optional(Limits, {}),
  /** The operator's own number of this setup; 0 where it has none. */
  revision: v.optional(Count, 0),
  /** The operator's words that belong to no route or service, kept whole to be read back. */
  sourceDocument: v.optional(v.unknown()),
  /** Controllers and stores join by announcing themselves; otherwise those listed are all there are. */
  joining: v.optional(v.boolean(), false),
  controllers: v.optional(v.record(NodeName, Place), {}),
  stores: v.optional(v.record(NodeName, Place), {}),
  /** Stores being emptied for retirement: still there, but wanted by no part. */
  emptying: v.optional(v.array(NodeName), []),
  batchShards: v.optional(v.pipe(Count, v.minValue(1), v.maxValue(64)), 4),
  serviceShards: v.optional(v.pipe(Count, v.minValue(1), v.maxValue(64)), 2),
  copies: v.optional(v.pipe(Count, v.minValue(1), v.maxValue(7)), 3),
});
export type Configuration = v.InferOutput<typeof Configuration>;
