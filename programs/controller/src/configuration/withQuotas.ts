import * as v from 'valibot';
import { QuotaName, entriesOf, hashOf } from '@pewterlanding/model';
import type { QuotaRule, Route, RouteName, Configuration } from '@pewterlanding/model';

const liveQuota = v.parse(QuotaName, 'live');
const maxHostLetters = 60;

/**
 * Where operators define no quotas, each customer gets one: a customer is a host with batch routes. All get the same share, and
 * live tasks together one more, so that no customer's batches can starve another's.
 */
export function withQuotas(configuration: Configuration): Configuration {
  if (entriesOf(configuration.quotas).length > 0) return configuration;
  const names = new Set<QuotaName>([liveQuota]);
  const routes: Record<RouteName, Route> = {};
  for (const [name, route] of entriesOf(configuration.routes)) {
    const quota = route.kind === 'batch' ? quotaOf(route.host) : undefined;
    if (quota !== undefined) names.add(quota);
    routes[name] = quota === undefined || quota === route.quota ? route : { ...route, quota };
  }
  const quotas: Record<QuotaName, QuotaRule> = {};
  for (const name of names) quotas[name] = { share: 1 / names.size, lends: true };
  return { ...configuration, routes, quotas };
}

/** The host itself where it is a valid name; otherwise its valid letters and a hash. Depends on nothing but the host. */
function quotaOf(host: string): QuotaName {
  const plain = v.safeParse(QuotaName, host);
  if (plain.success && plain.output !== liveQuota) return plain.output;
  return v.parse(QuotaName, `h-${host.replace(/[^a-z0-9.-]/g, '-').slice(0, maxHostLetters)}-${hashOf(host).toString(16)}`);
}
