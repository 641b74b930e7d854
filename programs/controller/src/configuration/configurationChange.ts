import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

const Items = v.record(v.string(), v.unknown());

/** A change in one call: a whole configuration, or routes and services that are put in place or removed by name. */
export const ConfigurationChange = v.strictObject({
  /** The operator's number of the configuration that it builds on; 0 where there is none. */
  basedOn: Count,
  /** The operator's own number for the new configuration; must be above the present one. */
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
