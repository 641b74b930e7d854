import { auditCalls } from './audit/auditCalls.js';
import { configurationCalls } from './configuration/configurationCalls.js';
import { quotaCalls } from './dispatcher/quotaCalls.js';
import { contactCalls } from './replicas/contactCalls.js';
import { roleCalls } from './roles/roleCalls.js';

/** Every call that controllers serve each other, composed of those of each concern. */
export const controllerCalls = { ...configurationCalls, ...auditCalls, ...roleCalls, ...quotaCalls, ...contactCalls };
