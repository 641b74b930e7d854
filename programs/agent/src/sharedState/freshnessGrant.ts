import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** The setup leader's word that this version is the newest. For each front alone goes the stamp that was had from it before. */
export const FreshnessGrant = v.strictObject({ version: Count });
export type FreshnessGrant = v.InferOutput<typeof FreshnessGrant>;
