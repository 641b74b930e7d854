import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** The configuration leader's confirmation that this version is the newest; each front gets its own last clock reading with it. */
export const FreshnessGrant = v.strictObject({ version: Count });
export type FreshnessGrant = v.InferOutput<typeof FreshnessGrant>;
