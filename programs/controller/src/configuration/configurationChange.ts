import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

const Items = v.record(v.string(), v.unknown());

/** A setup put in force in one call: the whole of it, or named routes and services put in place or taken out of the one it builds on. */
export const ConfigurationChange = v.strictObject({
  /** The operator's number of the setup it builds on; 0 where there is none. */
  basedOn: Count,
  /** The operator's own number for the new setup; must be above the present one. */
  revision: Count,
  /** Tells the same change sent again from another one under the same number. */
  hash: v.string(),
  change: v.variant('kind', [
    v.strictObject({ kind: v.literal('whole'), configuration: Items }),
    v.strictObject({
      kind: v.literal('items'),
      routes: v.optional(Items, {}),
      services: v.optional(Items, {}),
      drop: v.strictObject({ routes: v.array(v.string()), services: v.array(v.string()) }),
    }),
  ]),
});
export type ConfigurationChange = v.InferOutput<typeof ConfigurationChange>;
