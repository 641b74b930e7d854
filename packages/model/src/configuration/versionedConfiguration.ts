import * as v from 'valibot';
import { Count } from '../schema/index.js';
import { Configuration } from './configuration.js';

/** A committed configuration and its version, which goes up by one with each commit. */
export const VersionedConfiguration = v.strictObject({ version: Count, configuration: Configuration });
export type VersionedConfiguration = v.InferOutput<typeof VersionedConfiguration>;
