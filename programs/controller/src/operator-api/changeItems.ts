import * as v from 'valibot';

const Items = v.record(v.string(), v.unknown());
const Names = v.optional(v.array(v.string()), []);

/** Routes and services to put in place by name, and the names of those to remove. */
export const ChangeItems = v.strictObject({
  routes: v.optional(Items, {}),
  services: v.optional(Items, {}),
  drop: v.optional(v.strictObject({ routes: Names, services: Names }), {}),
});
export type ChangeItems = v.InferOutput<typeof ChangeItems>;
