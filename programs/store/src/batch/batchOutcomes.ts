import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { ItemOutcome } from './itemOutcome.js';

/** Outcomes in order of finishing, from a position on. */
export const BatchOutcomes = v.strictObject({ total: Count, ended: v.boolean(), outcomes: v.array(ItemOutcome), next: Count });
export type BatchOutcomes = v.InferOutput<typeof BatchOutcomes>;
