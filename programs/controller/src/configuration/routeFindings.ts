import { entriesOf } from '@pewterlanding/model';
import type { Finding, Configuration } from '@pewterlanding/model';

/** Findings of routes: each must have a service with a weight, a quota that exists, and a host and prefix of its own. */
export function routeFindings(configuration: Configuration): readonly Finding[] {
  const findings: Finding[] = [];
  const places = new Map<string, string>();
  for (const [name, route] of entriesOf(configuration.routes)) {
    const add = (field: string, message: string): void => void findings.push({ place: `routes.${name}.${field}`, message });
    for (const { service } of route.services) if (configuration.services[service] === undefined) add('services', `no service ${service}`);
    if (!route.services.some(({ weight }) => weight > 0)) add('services', 'weights add up to 0');
    if (route.quota !== undefined && configuration.quotas[route.quota] === undefined) add('quota', `no quota ${route.quota}`);
    const place = `${route.host} ${route.prefix}`;
    const other = places.get(place);
    if (other !== undefined) add('prefix', `host and prefix are those of ${other}`);
    places.set(place, name);
  }
  return findings;
}
