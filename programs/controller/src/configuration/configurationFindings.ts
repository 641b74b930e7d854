import { entriesOf } from '@pewterlanding/model';
import type { Finding, Configuration } from '@pewterlanding/model';
import { QuotaTree } from '@pewterlanding/rate-limit';
import { routeFindings } from './routeFindings.js';

/** What no schema can tell of a configuration: whether its sections fit each other and the configuration before it. */
export function configurationFindings(next: Configuration, now: Configuration | undefined): readonly Finding[] {
  const findings: Finding[] = [...QuotaTree.findings(new Map(entriesOf(next.quotas))), ...routeFindings(next)];
  const stores = entriesOf(next.stores);
  const staying = stores.filter(([name]) => !next.emptying.includes(name));
  // Machines that join by announcing themselves are listed in no configuration.
  if (!next.joining) {
    for (const name of next.emptying)
      if (next.stores[name] === undefined) findings.push({ place: 'emptying', message: `no store ${name}` });
    if (entriesOf(next.controllers).length === 0) findings.push({ place: 'controllers', message: 'at least one controller machine' });
    if (stores.length === 0) findings.push({ place: 'stores', message: 'at least one store machine' });
  }
  if (stores.length > 0 && staying.length === 0) findings.push({ place: 'emptying', message: 'the last copies cannot be emptied' });
  const machines = [...entriesOf(next.controllers), ...stores];
  const places = new Map<string, string>();
  for (const [name, place] of machines) {
    const other = places.get(place.address);
    if (other !== undefined)
      findings.push({
        place: `${next.stores[name] === undefined ? 'controllers' : 'stores'}.${name}.address`,
        message: `is the address of ${other}`,
      });
    places.set(place.address, name);
  }
  if (now === undefined) return findings;
  for (const key of ['batchShards', 'serviceShards'] as const) {
    if (next[key] !== now[key]) findings.push({ place: key, message: `cannot change after the bootstrap; it is ${now[key]}` });
  }
  const remainingControllers = entriesOf(now.controllers).filter(([name]) => next.controllers[name] !== undefined);
  if (!next.joining && remainingControllers.length * 2 <= entriesOf(now.controllers).length)
    findings.push({ place: 'controllers', message: 'a majority of the controller must stay; change one machine at a time' });
  return findings;
}
