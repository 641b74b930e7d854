import { entriesOf } from '@pewterlanding/model';
import type { Finding, Configuration } from '@pewterlanding/model';
import { QuotaTree } from '@pewterlanding/rate-limit';
import { routeFindings } from './routeFindings.js';

/** What no schema can tell of a configuration: whether its sections fit each other and the configuration before it. */
export function configurationFindings(next: Configuration, now: Configuration | undefined): readonly Finding[] {
  const quotas = QuotaTree.findings(new Map(entriesOf(next.quotas)));
  const routes = routeFindings(next);
  const machines = machineFindings(next);
  const addresses = addressFindings(next);
  const change = now === undefined ? [] : changeFindings(next, now);
  return [...quotas, ...routes, ...machines, ...addresses, ...change];
}

/** There must be machines of each role, and stores left to hold the copies. */
function machineFindings(next: Configuration): readonly Finding[] {
  // Machines that join by announcing themselves are listed in no configuration.
  const findings = next.joining ? [] : listedMachineFindings(next);
  const stores = entriesOf(next.stores);
  const remaining = stores.filter(([name]) => !next.emptying.includes(name));
  if (stores.length === 0 || remaining.length > 0) return findings;
  return [...findings, { place: 'emptying', message: 'the last copies cannot be emptied' }];
}

function listedMachineFindings({ controllers, stores, emptying }: Configuration): readonly Finding[] {
  const findings: Finding[] = [];
  for (const name of emptying) if (stores[name] === undefined) findings.push({ place: 'emptying', message: `no store ${name}` });
  if (entriesOf(controllers).length === 0) findings.push({ place: 'controllers', message: 'at least one controller machine' });
  if (entriesOf(stores).length === 0) findings.push({ place: 'stores', message: 'at least one store machine' });
  return findings;
}

/** No two machines may share an address. */
function addressFindings({ controllers, stores }: Configuration): readonly Finding[] {
  const findings: Finding[] = [];
  const names = new Map<string, string>();
  for (const [name, { address }] of [...entriesOf(controllers), ...entriesOf(stores)]) {
    const other = names.get(address);
    const section = stores[name] === undefined ? 'controllers' : 'stores';
    if (other !== undefined) findings.push({ place: `${section}.${name}.address`, message: `is the address of ${other}` });
    names.set(address, name);
  }
  return findings;
}

/** The number of shards is fixed, and a majority of the controller machines must remain. */
function changeFindings(next: Configuration, now: Configuration): readonly Finding[] {
  const findings: Finding[] = [];
  for (const key of ['batchShards', 'serviceShards'] as const) {
    if (next[key] !== now[key]) findings.push({ place: key, message: `cannot change after the bootstrap; it is ${now[key]}` });
  }
  const before = entriesOf(now.controllers);
  const remaining = before.filter(([name]) => next.controllers[name] !== undefined);
  if (!next.joining && remaining.length * 2 <= before.length)
    findings.push({ place: 'controllers', message: 'a majority of the controller must stay; change one machine at a time' });
  return findings;
}
