import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { ItemOutcome } from './itemOutcome.js';

/** A page of outcomes in order of finishing; `next` is the cursor of the next page. */
export const BatchOutcomes = v.strictObject({ total: Count, ended: v.boolean(), outcomes: v.array(ItemOutcome), next: Count });
export type BatchOutcomes = v.InferOutput<typeof BatchOutcomes>;
