import * as v from 'valibot';

/** Name of a route in the configuration. */
export const RouteName = v.pipe(v.string(), v.minLength(1), v.maxLength(200), v.brand('RouteName'));
export type RouteName = v.InferOutput<typeof RouteName>;
