import * as v from 'valibot';

/** Name of a process in its fleet; a machine keeps it over restarts. */
export const NodeName = v.pipe(
  v.string(),
  v.regex(/^[a-zA-Z0-9][a-zA-Z0-9_.\/-]{0,79}$/, 'must be 1 to 80 letters, digits, dots, dashes, slashes or underscores'),
  v.brand('NodeName'),
);
export type NodeName = v.InferOutput<typeof NodeName>;
