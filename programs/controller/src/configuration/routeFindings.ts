import { entriesOf } from '@pewterlanding/model';
import type { Finding, Configuration } from '@pewterlanding/model';

/** Whether routes lead somewhere, and each task by one route only. */
export function routeFindings(configuration: Configuration): readonly Finding[] {
  const findings: Finding[] = [];
  const places = new Map<string, string>();
  for (const [name, route] of entriesOf(configuration.routes)) {
    const say = (field: string, message: string): void => void findings.push({ place: `routes.${name}.${field}`, message });
    for (const { service } of route.services) if (configuration.services[service] === undefined) say('services', `no service ${service}`);
    if (!route.services.some(({ weight }) => weight > 0)) say('services', 'weights add up to 0');
    if (route.quota !== undefined && configuration.quotas[route.quota] === undefined) say('quota', `no quota ${route.quota}`);
    const place = `${route.host} ${route.prefix}`;
    const other = places.get(place);
    if (other !== undefined) say('prefix', `host and prefix are those of ${other}`);
    places.set(place, name);
  }
  return findings;
}
