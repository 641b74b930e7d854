import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** What became of a change put in one call: `taken` also when it was taken before; `conflict` when another setup is in force. */
export const ChangeOutcome = v.strictObject({
  outcome: v.picklist(['taken', 'conflict', 'invalid']),
  /** The operator's number of the setup in force now. */
  revision: Count,
  findings: v.array(v.strictObject({ place: v.string(), message: v.string() })),
});
export type ChangeOutcome = v.InferOutput<typeof ChangeOutcome>;
