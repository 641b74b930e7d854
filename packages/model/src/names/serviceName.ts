import * as v from 'valibot';

/** Name of a service in the configuration. */
export const ServiceName = v.pipe(
  v.string(),
  v.regex(/^[a-zA-Z0-9][a-zA-Z0-9_.\/-]{0,79}$/, 'must be 1 to 80 letters, digits, dots, dashes, slashes or underscores'),
  v.brand('ServiceName'),
);
export type ServiceName = v.InferOutput<typeof ServiceName>;
