import * as v from 'valibot';
import { ShardView } from '@pewterlanding/consensus';
import { SingletonRole } from '@pewterlanding/agent';
import { NodeRecord } from '@pewterlanding/membership';
import { Confirmation, Difference, Effect, PlanOutcome } from '@pewterlanding/controller';
import { QuotaView } from '@pewterlanding/rate-limit';
import { BatchView } from '@pewterlanding/store';

const Wanted = v.array(v.object({ name: v.string(), address: v.string() }));

/** What the controller returns, as will reads it. Fields that a later version adds are passed over. */
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
  setup: v.object({ version: v.number(), setup: v.nullable(v.record(v.string(), v.unknown())) }),
  history: v.object({ history: v.array(Confirmation) }),
  nodes: v.object({ nodes: v.array(v.object({ ...NodeRecord.entries, version: v.optional(v.number()) })) }),
  shards: v.object({ shards: v.array(v.object({ shard: v.string(), wanted: v.optional(Wanted), view: v.optional(ShardView) })) }),
  duties: v.object({ duties: v.record(v.string(), SingletonRole) }),
  branches: v.object({ term: v.number(), quotas: v.array(QuotaView), waiting: v.record(v.string(), v.number()) }),
  lots: v.object({ lots: v.array(BatchView) }),
};
