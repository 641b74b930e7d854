import * as v from 'valibot';
import { Version } from './version.js';

/** One thing known to the whole fleet. Volatile news are not compared: who tells them tells them anew before long. */
export const Update = v.strictObject({
  key: v.string(),
  version: Version,
  volatile: v.boolean(),
  value: v.unknown(),
  /** What of it only the node of that name needs; each link of the tree carries what the nodes beyond it need. */
  byNode: v.optional(v.record(v.string(), v.unknown())),
  /** Instead of the value: what changed since a version. Who holds another version asks for the whole. */
  change: v.optional(v.strictObject({ from: Version, patch: v.unknown() })),
});
export type Update = v.InferOutput<typeof Update>;
