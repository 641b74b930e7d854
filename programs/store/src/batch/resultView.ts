import * as v from 'valibot';
import { Count, ItemId } from '@pewterlanding/model';

/** A final item's result as callers see it. */
export const ResultView = v.strictObject({
  id: ItemId,
  position: Count,
  state: v.picklist(['COMPLETED', 'FAILED', 'ENDED']),
  result: v.optional(v.string()),
});
export type ResultView = v.InferOutput<typeof ResultView>;
