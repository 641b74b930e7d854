import * as v from 'valibot';
import { check } from '@pewterlanding/model';
import type { ControllerClient } from './controllerClient.js';
import { views } from './views.js';

/** The stores that the configuration in force empties; none where it cannot be read. */
export async function emptyingStores(controller: ControllerClient): Promise<readonly string[]> {
  const response = await controller.ask('GET', '/v1/configuration');
  const read = check(views.configuration, response.body);
  if (!read.ok) return [];
  const stores = check(v.array(v.string()), read.value.configuration?.['emptying'] ?? []);
  return stores.ok ? stores.value : [];
}
