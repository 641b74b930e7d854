import * as v from 'valibot';

/** The commands of pewtersim. */
export const CommandName = v.picklist(['up', 'run', 'sim', 'campaign', 'scenario', 'digest', 'mutations', 'selection', 'soak']);
export type CommandName = v.InferOutput<typeof CommandName>;
