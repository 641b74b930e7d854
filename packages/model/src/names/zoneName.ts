import * as v from 'valibot';

/** Name of an availability zone. */
export const ZoneName = v.pipe(
  v.string(),
  v.regex(/^[a-zA-Z0-9][a-zA-Z0-9_.\/-]{0,79}$/, 'must be 1 to 80 letters, digits, dots, dashes, slashes or underscores'),
  v.brand('ZoneName'),
);
export type ZoneName = v.InferOutput<typeof ZoneName>;
