import * as v from 'valibot';

/** What an operator sends: a whole configuration, or in `part` a JSON Merge Patch of the one in force. */
export const Proposal = v.union(
  [v.strictObject({ whole: v.record(v.string(), v.unknown()) }), v.strictObject({ part: v.record(v.string(), v.unknown()) })],
  'must be an object with either "whole" or "part"',
);
export type Proposal = v.InferOutput<typeof Proposal>;
