import { check, configurationFormat1, entriesOf, Configuration, isFields, renameFields } from '@pewterlanding/model';
import type { Checked } from '@pewterlanding/model';
import type { ConfigurationChange } from './configurationChange.js';
import { configurationFindings } from './configurationFindings.js';
import { withQuotas } from './withQuotas.js';

type Items = Readonly<Record<string, unknown>>;

/** What a change makes of the configuration in force, checked as a whole, or all findings. A pure function: every member runs it. */
export function changedConfiguration({ change, revision }: ConfigurationChange, now: Configuration | undefined): Checked<Configuration> {
  if (revision <= (now?.revision ?? 0)) return { ok: false, findings: [{ place: 'mark', message: `must be above ${now?.revision ?? 0}` }] };
  const read =
    change.kind === 'whole'
      ? check(Configuration, { ...whole(upgraded(change.configuration), now), revision })
      : items(change, revision, now);
  if (!read.ok) return read;
  const next = withQuotas(read.value);
  const findings = configurationFindings(next, now);
  return findings.length > 0 ? { ok: false, findings } : { ok: true, value: next };
}

/** Keeps what such a document does not state: which machines hold the shards, and how many shards there are. */
function whole(document: Items, now: Configuration | undefined): Items {
  if (now === undefined) return { quotas: {}, ...document };
  const { controllers, stores, emptying, batchShards, serviceShards, copies } = now;
  return { controllers, stores, emptying, batchShards, serviceShards, copies, quotas: {}, ...document };
}

function items(
  change: Extract<ConfigurationChange['change'], { kind: 'items' }>,
  revision: number,
  now: Configuration | undefined,
): Checked<Configuration> {
  // Quotas that were derived from the routes are derived anew.
  const quotas = now === undefined || hasDerivedQuotas(now) ? {} : now.quotas;
  const changed = upgraded({ routes: change.routes, services: change.services });
  // The rest was checked when it was put in force: of a large configuration only the new items have to be.
  const read = check(Configuration, { ...now, quotas, routes: changed['routes'], services: changed['services'], revision });
  if (!read.ok) return read;
  const routes = replaced(now?.routes, read.value.routes, change.drop.routes);
  const services = replaced(now?.services, read.value.services, change.drop.services);
  return { ok: true, value: { ...read.value, routes, services } };
}

/** A document in the present format; operators may still write format 1. */
function upgraded(document: Items): Items {
  const renamed = renameFields(document, configurationFormat1);
  return isFields(renamed) ? renamed : document;
}

function replaced<V>(
  current: Readonly<Record<string, V>> = {},
  put: Readonly<Record<string, V>>,
  drop: readonly string[],
): Record<string, V> {
  const all = new Map(Object.entries(current));
  for (const name of drop) all.delete(name);
  for (const [name, item] of Object.entries(put)) all.set(name, item);
  return Object.fromEntries(all);
}

/** Whether a configuration's quotas are those that its routes would give it. */
function hasDerivedQuotas(configuration: Configuration): boolean {
  const made = entriesOf(withQuotas({ ...configuration, quotas: {} }).quotas);
  return (
    made.length === entriesOf(configuration.quotas).length &&
    made.every(([name, rule]) => JSON.stringify(rule) === JSON.stringify(configuration.quotas[name]))
  );
}
