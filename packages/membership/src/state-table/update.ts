import * as v from 'valibot';
import { Version } from './version.js';

/** One key and its value, shared with all nodes. Volatile updates are left out of anti-entropy: they are published again before long. */
export const Update = v.strictObject({
  key: v.string(),
  version: Version,
  volatile: v.boolean(),
  value: v.unknown(),
  /** Parts that only the node of that name needs; each link of the relay tree carries those for the nodes beyond it. */
  byNode: v.optional(v.record(v.string(), v.unknown())),
  /** In place of the value: a merge patch (RFC 7396) of an earlier version. A node that holds another version asks for the whole value. */
  change: v.optional(v.strictObject({ from: Version, patch: v.unknown() })),
});
export type Update = v.InferOutput<typeof Update>;
