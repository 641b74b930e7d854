import * as v from 'valibot';

/** What a node of the ring is. A proxy is reached through the agent beside it. */
export const Role = v.picklist(['agent', 'controller', 'store']);
export type Role = v.InferOutput<typeof Role>;
