import * as v from 'valibot';
import { Count, NodeName } from '@pewterlanding/model';
import { PlacedMachine } from './placedMachine.js';

/** Which machines have announced themselves, and on which of them each shard's members are placed, in order. Persisted. */
export const Placement = v.strictObject({
  version: Count,
  machines: v.record(NodeName, PlacedMachine),
  shards: v.record(v.string(), v.array(NodeName)),
  /** Stores that are being drained: they shall hold no copies. */
  emptying: v.array(NodeName),
});
export type Placement = v.InferOutput<typeof Placement>;
