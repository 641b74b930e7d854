import * as v from 'valibot';
import { GroupMember } from '@pewterlanding/consensus';
import { SingletonRole } from '@pewterlanding/agent';
import { Configuration, Count } from '@pewterlanding/model';
import { AuditHead } from '../audit/auditHead.js';
import { Confirmation } from '../audit/confirmation.js';
import { Placement } from '../placement/placement.js';
import { Plan } from './plan.js';

const State = v.strictObject({
  version: Count,
  tableVersion: Count,
  configuration: v.optional(Configuration),
  plans: v.array(Plan),
  history: v.array(Confirmation),
  singletonRoles: v.record(v.string(), SingletonRole),
  bootstrapped: v.record(v.string(), v.array(GroupMember)),
  audit: AuditHead.schema,
  auditKeys: v.array(v.record(v.string(), v.unknown())),
  placement: v.optional(Placement, { version: 0, machines: {}, shards: {}, emptying: [] }),
});

/** The replicated state of the configuration shard, as snapshots store it. `tableVersion` counts changes of the shard table. */
export const ConfigurationState = {
  schema: State,
  empty: (): ConfigurationState => ({
    version: 0,
    tableVersion: 0,
    plans: [],
    history: [],
    singletonRoles: {},
    bootstrapped: {},
    audit: AuditHead.empty(),
    auditKeys: [],
    placement: { version: 0, machines: {}, shards: {}, emptying: [] },
  }),
};
export type ConfigurationState = v.InferOutput<typeof State>;
