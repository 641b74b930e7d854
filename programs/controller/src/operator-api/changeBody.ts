import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { ChangeItems } from './changeItems.js';

const head = { basedOn: Count, revision: Count };

/**
 * The body of POST /v1/configuration: a whole configuration, or items put in place by name and items removed.
 * `basedOn` is the revision that the change builds on, `revision` the operator's own number for the result.
 */
export const ChangeBody = v.union(
  [v.strictObject({ ...head, whole: v.record(v.string(), v.unknown()) }), v.strictObject({ ...head, items: ChangeItems })],
  'must have "basedOn", "revision", and either "whole" or "items"',
);
export type ChangeBody = v.InferOutput<typeof ChangeBody>;
