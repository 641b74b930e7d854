import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

const Items = v.record(v.string(), v.unknown());
const Names = v.optional(v.array(v.string()), []);
const head = { basedOn: Count, mark: Count };

/** A change in force in one call, as operators write it: a whole setup, or items put in place by name and items taken out. */
export const ChangeBody = v.union(
  [
    v.strictObject({ ...head, whole: Items }),
    v.strictObject({
      ...head,
      items: v.strictObject({
        routes: v.optional(Items, {}),
        services: v.optional(Items, {}),
        drop: v.optional(v.strictObject({ routes: Names, services: Names }), {}),
      }),
    }),
  ],
  'must have "basedOn", "mark", and either "whole" or "items"',
);
export type ChangeBody = v.InferOutput<typeof ChangeBody>;
