import * as v from 'valibot';

/** The states of "Rate-limited batch orchestration", and ENDED for items of a batch that was ended before they started. */
export const ItemState = v.picklist(['QUEUED', 'DISPATCHED', 'IN_PROGRESS', 'COMPLETED', 'FAILED', 'ENDED']);
export type ItemState = v.InferOutput<typeof ItemState>;
