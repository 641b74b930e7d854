import { check } from '../schema/index.js';
import type { Checked } from '../schema/index.js';
import { Configuration } from './configuration.js';
import { configurationFormat1 } from './configurationFormat1.js';
import { renameFields } from '../documents/index.js';

/** Validates a configuration document of the present format or of version 1; a failure holds all findings, under the names of the present
 * format. */
export function readConfiguration(document: unknown): Checked<Configuration> {
  return check(Configuration, renameFields(document, configurationFormat1));
}
