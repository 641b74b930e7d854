import * as v from 'valibot';

/** What an operator sends: a whole setup, or a shard of one as a JSON Merge Patch. */
export const Proposal = v.union(
  [v.strictObject({ whole: v.record(v.string(), v.unknown()) }), v.strictObject({ part: v.record(v.string(), v.unknown()) })],
  'must be an object with either "whole" or "part"',
);
export type Proposal = v.InferOutput<typeof Proposal>;
