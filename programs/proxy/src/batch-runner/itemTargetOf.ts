import type { LeaseOffer } from '@pewterlanding/agent';
import type { RoutingState } from '../updates/index.js';
import type { ItemTarget } from './itemTarget.js';
import { weightedService } from './weightedService.js';

/**
 * The target of an item under the current configuration, found by the route's name. Undefined when there is none: the dispatcher
 * closes items whose route is gone, and this proxy may have an older configuration than the dispatcher.
 */
export function itemTargetOf(
  item: NonNullable<LeaseOffer['item']>,
  routingState: RoutingState,
  random: () => number,
): ItemTarget | undefined {
  const { configuration, version } = routingState.tables;
  const route = configuration?.routes[item.route];
  if (configuration === undefined || route === undefined) return undefined;
  const service = weightedService(route, random);
  if (service === undefined || version < item.version) return undefined;
  if (route.kind !== 'batch' || route.host !== item.host) return undefined;
  return { configuration, version, route, service };
}
