import * as v from 'valibot';

/** The kind of a node. Proxies are no members; each is reached through the agent on its machine. */
export const Role = v.picklist(['agent', 'controller', 'store']);
export type Role = v.InferOutput<typeof Role>;
