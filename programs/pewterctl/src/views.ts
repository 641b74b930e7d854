import * as v from 'valibot';
import { ShardView } from '@pewterlanding/consensus';
import { SingletonRole } from '@pewterlanding/agent';
import { NodeRecord } from '@pewterlanding/membership';
import { Confirmation, Difference, Effect, PlanOutcome } from '@pewterlanding/controller';
import { QuotaView } from '@pewterlanding/rate-limit';
import { BatchView } from '@pewterlanding/store';

const Wanted = v.array(v.object({ name: v.string(), address: v.string() }));

/** The controller's answers as pewterctl reads them. Fields that a later version adds are ignored. */
export const views = {
  plan: v.object({
    id: v.string(),
    base: v.number(),
    differences: v.array(Difference),
    effects: v.array(Effect),
    outcome: v.optional(PlanOutcome),
  }),
  outcome: v.object({ outcome: v.string(), version: v.number(), error: v.optional(v.string()) }),
  error: v.object({ error: v.string(), findings: v.optional(v.array(v.object({ place: v.string(), message: v.string() })), []) }),
  configuration: v.object({ version: v.number(), configuration: v.nullable(v.record(v.string(), v.unknown())) }),
  history: v.object({ history: v.array(Confirmation) }),
  nodes: v.object({ nodes: v.array(v.object({ ...NodeRecord.entries, version: v.optional(v.number()) })) }),
  shards: v.object({ shards: v.array(v.object({ shard: v.string(), wanted: v.optional(Wanted), view: v.optional(ShardView) })) }),
  roles: v.object({ roles: v.record(v.string(), SingletonRole) }),
  quotas: v.object({ term: v.number(), quotas: v.array(QuotaView), waiting: v.record(v.string(), v.number()) }),
  batches: v.object({ batches: v.array(BatchView) }),
};
