import type { RouteName, ServiceName, Configuration } from '@pewterlanding/model';
import type { ItemRef, OpenLease, QueuedItem } from '@pewterlanding/store';

interface Placed {
  readonly items: readonly QueuedItem[];
  readonly open: readonly OpenLease[];
  /** Items whose route is gone. */
  readonly gone: readonly ItemRef[];
}

/**
 * Opaque items by the setup in force: they belong to the branch and service that their route has now, wherever it led when they were
 * handed in. A route split over services counts at the one with the largest gain; the front splits what it runs.
 */
export function assignItems(
  seen: { readonly items: readonly QueuedItem[]; readonly open: readonly OpenLease[] },
  configuration: Configuration,
  version: number,
): Placed {
  const gone: ItemRef[] = [];
  const items: QueuedItem[] = [];
  for (const item of seen.items) {
    const held = item.route;
    if (held === undefined) {
      items.push(item);
      continue;
    }
    // What was handed in under a later setup than this one waits until this node has it.
    if (held.version > version) continue;
    const route = configuration.routes[held.name];
    if (route?.kind === 'batch' && route.host === held.host)
      items.push({ ...item, quota: route.quota ?? item.quota, service: serviceOf(configuration, held.name) ?? item.service });
    else gone.push(item.ref);
  }
  const open = seen.open.map((lease) =>
    lease.route === undefined
      ? lease
      : {
          ...lease,
          quota: configuration.routes[lease.route]?.quota ?? lease.quota,
          service: serviceOf(configuration, lease.route) ?? lease.service,
        },
  );
  return { items, open, gone };
}

function serviceOf(configuration: Configuration, route: RouteName): ServiceName | undefined {
  return configuration.routes[route]?.services.reduce((best, next) => (next.weight > best.weight ? next : best)).service;
}
