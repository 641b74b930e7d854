import type { Bounds } from '@pewterlanding/model';

/** The bounds that limit the batch items in flight. */
export type BatchBounds = Pick<Bounds, 'batchConcurrencyLimit' | 'batchFloorRatio' | 'liveReserve'>;
