import * as v from 'valibot';

/** The source's states, and ENDED for items of a lot that was ended before they started. */
export const ItemState = v.picklist(['QUEUED', 'DISPATCHED', 'IN_PROGRESS', 'COMPLETED', 'FAILED', 'ENDED']);
export type ItemState = v.InferOutput<typeof ItemState>;
