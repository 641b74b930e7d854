import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** What became of a change in one call: `taken` also when it was accepted before; `conflict` when another configuration is in force. */
export const ChangeOutcome = v.strictObject({
  outcome: v.picklist(['taken', 'conflict', 'invalid']),
  /** The operator's number of the configuration in force now. */
  revision: Count,
  findings: v.array(v.strictObject({ place: v.string(), message: v.string() })),
});
export type ChangeOutcome = v.InferOutput<typeof ChangeOutcome>;
