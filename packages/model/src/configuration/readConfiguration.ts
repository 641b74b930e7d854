import { check } from '../schema/check.js';
import type { Checked } from '../schema/checked.js';
import { Configuration } from './configuration.js';
import { configurationFormat1 } from './configurationFormat1.js';
import { renameFields } from '../documents/renameFields.js';

/** Reads a configuration document of the present format or of version 1, with all findings at once. */
export function readConfiguration(document: unknown): Checked<Configuration> {
  return check(Configuration, renameFields(document, configurationFormat1));
}
