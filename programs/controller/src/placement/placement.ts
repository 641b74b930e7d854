import * as v from 'valibot';
import { Address, Count, NodeName, ZoneName } from '@pewterlanding/model';

const StateMachine = v.strictObject({ role: v.picklist(['controller', 'store']), address: Address, zone: ZoneName });

/** Which machines have announced themselves, and which of them shall sit in each shard, in order. */
export const Placement = v.strictObject({
  version: Count,
  machines: v.record(NodeName, StateMachine),
  shards: v.record(v.string(), v.array(NodeName)),
  /** Stores that shall hold nothing any more. */
  emptying: v.array(NodeName),
});
export type Placement = v.InferOutput<typeof Placement>;
