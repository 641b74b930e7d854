import * as v from 'valibot';

/** Name of a quota in the configuration. */
export const QuotaName = v.pipe(
  v.string(),
  v.regex(/^[a-zA-Z0-9][a-zA-Z0-9_.\/-]{0,79}$/, 'must be 1 to 80 letters, digits, dots, dashes, slashes or underscores'),
  v.brand('QuotaName'),
);
export type QuotaName = v.InferOutput<typeof QuotaName>;
