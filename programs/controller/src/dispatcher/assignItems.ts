import type { RouteName, ServiceName, Configuration } from '@pewterlanding/model';
import type { ItemRef, OpenLease, QueuedItem } from '@pewterlanding/store';

interface AssignedItems {
  readonly items: readonly QueuedItem[];
  readonly open: readonly OpenLease[];
  /** Items whose route no longer exists. */
  readonly gone: readonly ItemRef[];
}

/**
 * Assigns opaque items to the quota and the service that their route has in this configuration, whatever it had when they were
 * submitted. An item of a route that is split over services counts for the service of the largest weight; the front splits what it
 * runs. Items submitted under a later configuration are left out until this node has that version.
 */
export function assignItems(
  read: { readonly items: readonly QueuedItem[]; readonly open: readonly OpenLease[] },
  configuration: Configuration,
  version: number,
): AssignedItems {
  const gone: ItemRef[] = [];
  const items: QueuedItem[] = [];
  for (const item of read.items) {
    const submitted = item.route;
    if (submitted === undefined) {
      items.push(item);
      continue;
    }
    if (submitted.version > version) continue;
    const route = configuration.routes[submitted.name];
    if (route?.kind !== 'batch' || route.host !== submitted.host) {
      gone.push(item.ref);
      continue;
    }
    const service = serviceOf(configuration, submitted.name) ?? item.service;
    items.push({ ...item, quota: route.quota ?? item.quota, service });
  }
  return { items, open: read.open.map((lease) => assignLease(lease, configuration)), gone };
}

function assignLease(lease: OpenLease, configuration: Configuration): OpenLease {
  if (lease.route === undefined) return lease;
  const quota = configuration.routes[lease.route]?.quota ?? lease.quota;
  const service = serviceOf(configuration, lease.route) ?? lease.service;
  return { ...lease, quota, service };
}

function serviceOf(configuration: Configuration, route: RouteName): ServiceName | undefined {
  return configuration.routes[route]?.services.reduce((best, next) => (next.weight > best.weight ? next : best)).service;
}
