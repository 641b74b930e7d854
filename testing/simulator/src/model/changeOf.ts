import type { ConfigurationChange } from '@pewterlanding/controller';
import { simService } from '../simulation/index.js';
import type { RegisterOrder } from './registerOrder.js';

/** An order as the shipped register takes it. */
export function changeOf(order: Exclude<RegisterOrder, { kind: 'read' }>): ConfigurationChange {
  const { basedOn, revision, token } = order;
  const head = { basedOn, revision, hash: token };
  const service = simService('whole', true, ['127.0.40.1']);
  if (order.kind === 'replace') {
    const services = order.valid ? {} : { wrong: { ...service, kind: 'no such kind' } };
    return { ...head, change: { kind: 'whole', configuration: { joining: true, services, sourceDocument: { token } } } };
  }
  const services = Object.fromEntries(order.put.map((name) => [name, service]));
  return { ...head, change: { kind: 'items', routes: {}, services, drop: { routes: [], services: [...order.drop] } } };
}
