import * as v from 'valibot';

/** What a command of a service shard brings. */
export const ServiceReturn = v.strictObject({ done: v.literal(true) });
export type ServiceReturn = v.InferOutput<typeof ServiceReturn>;
