import * as v from 'valibot';
import { Count, BatchId } from '@pewterlanding/model';

/** One item of one batch, by its index. */
export const ItemRef = v.strictObject({ batch: BatchId, position: Count });
export type ItemRef = v.InferOutput<typeof ItemRef>;
