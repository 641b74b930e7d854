import * as v from 'valibot';
import { Count } from '../schema/count.js';
import { Configuration } from './configuration.js';

/** A confirmed setup and its number. */
export const VersionedConfiguration = v.strictObject({ version: Count, configuration: Configuration });
export type VersionedConfiguration = v.InferOutput<typeof VersionedConfiguration>;
