import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { mergePatchBetween, mergePatch, RouteName } from '@pewterlanding/model';
import { ConfigurationShard, withoutSourceDocuments } from '../src/index.js';
import type { ChangeOutcome, ConfigurationChange } from '../src/index.js';

type Items = Record<string, unknown>;

const service: Items = { kind: 'whole', idempotent: true, replicas: { maxSlots: 64 }, words: { Label: 'a', Odd: null } };
const route = (prefix: string, rest: Items = {}): Items => ({
  host: 'one.example',
  prefix,
  kind: 'whole',
  services: [{ service: 'a', weight: 1 }],
  ...rest,
});
const first: Items = {
  joining: true,
  bounds: { fallbackRatio: 0 },
  words: { Extra: [1, null] },
  services: { a: service, b: service },
  routes: { one: route('/one/', { words: { Label: 'one', LongestMs: 7 } }), two: route('/two/', { host: 'two.example', kind: 'batch' }) },
};

const whole = (basedOn: number, revision: number, configuration: Items = first): ConfigurationChange => ({
  basedOn,
  revision,
  hash: `${revision}-${JSON.stringify(configuration).length}`,
  change: { kind: 'whole', configuration },
});
const items = (basedOn: number, revision: number, routes: Items, services: Items = {}, drop: string[] = []): ConfigurationChange => ({
  basedOn,
  revision,
  hash: `items-${revision}`,
  change: { kind: 'items', routes, services, drop: { routes: drop, services: drop } },
});

function set(shard: ConfigurationShard, change: ConfigurationChange): ChangeOutcome['outcome'] | undefined {
  // As it comes back from a log: whatever is not in its shape is lost or refused.
  const command = shard.read(structuredClone({ kind: 'set', change, atMs: 1 }));
  return shard.readReturn(shard.apply(command)).change?.outcome;
}

describe('a configuration put in force in one call', () => {
  it('is accepted once, and answered as accepted again after newer ones, also after a restart', () => {
    const shard = new ConfigurationShard();
    expect([
      set(shard, whole(0, 5)),
      set(shard, items(5, 9, {})),
      set(shard, whole(0, 5)),
      shard.version,
      shard.configuration?.revision,
    ]).toEqual(['taken', 'taken', 'taken', 2, 9]);
    const next = new ConfigurationShard();
    next.restore(structuredClone(shard.snapshot()));
    expect([set(next, whole(0, 5)), next.version, next.history.map((one) => one.version)]).toEqual(['taken', 2, [1, 2]]);
  });

  it('is the only one of two on the same configuration to be accepted, whatever their revisions', () => {
    const shard = new ConfigurationShard();
    set(shard, whole(0, 5));
    const other: ConfigurationChange = { ...items(5, 7, { three: route('/three/') }), hash: 'another' };
    expect([set(shard, items(5, 7, {})), set(shard, other), set(shard, items(5, 8, {})), set(shard, items(0, 9, {}))]).toEqual([
      'taken',
      'conflict',
      'conflict',
      'conflict',
    ]);
    expect([shard.configuration?.revision, Object.keys(shard.configuration?.routes ?? {})]).toEqual([7, ['one', 'two']]);
  });

  it('changes nothing when it is invalid', () => {
    const shard = new ConfigurationShard();
    set(shard, whole(0, 5));
    const before = structuredClone(shard.snapshot());
    const invalid = [
      items(5, 6, { three: route('/three/', { services: [{ service: 'nobody', weight: 1 }] }) }),
      items(5, 6, { three: route('/one/') }),
      items(5, 6, {
        three: route('/three/', {
          services: [
            { service: 'a', weight: 0 },
            { service: 'b', weight: 0 },
          ],
        }),
      }),
      items(5, 6, { three: route('/three/', { timeoutMs: 0 }) }),
      items(5, 6, { three: { host: 'one.example' } }),
      items(5, 6, {}, {}, ['a']),
      items(5, 5, {}),
      items(5, 4, {}),
      whole(5, 6, { ...first, routes: 'cut' }),
      whole(5, 6, { ...first, batchShards: 9 }),
    ];
    expect(invalid.map((change) => set(shard, change))).toEqual(invalid.map(() => 'invalid'));
    expect(shard.snapshot()).toEqual(before);
    expect(set(shard, items(5, 6, {}))).toEqual('taken');
  });

  it('replaces named items whole, removes others, and keeps the source documents of the rest', () => {
    const shard = new ConfigurationShard();
    set(shard, whole(0, 5));
    expect(set(shard, items(5, 6, { two: route('/two/', { words: { Label: 'two' } }) }, {}, ['b', 'unheard of']))).toEqual('taken');
    const configuration = shard.configuration;
    const two = configuration?.routes[v.parse(RouteName, 'two')];
    expect([two?.kind, two?.host, two?.quota, two?.sourceDocument]).toEqual(['whole', 'one.example', undefined, { Label: 'two' }]);
    expect(configuration?.routes[v.parse(RouteName, 'one')]?.sourceDocument).toEqual({ Label: 'one', LongestMs: 7 });
    expect([
      Object.keys(configuration?.services ?? {}),
      Object.values(configuration?.services ?? {}).map((one) => one.sourceDocument),
    ]).toEqual([['a'], [{ Label: 'a', Odd: null }]]);
    expect([configuration?.sourceDocument, configuration?.joining, configuration?.bounds.fallbackRatio]).toEqual([
      { Extra: [1, null] },
      true,
      0,
    ]);
  });

  it('derives a quota for each host with batch routes, and follows the routes', () => {
    const shard = new ConfigurationShard();
    set(shard, whole(0, 5));
    const shares = (): unknown =>
      Object.fromEntries(Object.entries(shard.configuration?.quotas ?? {}).map(([name, rule]) => [name, rule.share]));
    const quota = (name: string): string | undefined => shard.configuration?.routes[v.parse(RouteName, name)]?.quota;
    expect([shares(), quota('one'), quota('two')]).toEqual([{ live: 0.5, 'two.example': 0.5 }, undefined, 'two.example']);
    set(shard, items(5, 6, { odd: route('/odd/', { host: '_odd.example', kind: 'batch' }) }));
    expect([Object.keys(shard.configuration?.quotas ?? {}).length, quota('odd')?.startsWith('h--odd.example-')]).toEqual([3, true]);
    set(shard, items(6, 7, {}, {}, ['odd', 'two']));
    expect(shares()).toEqual({ live: 1 });
    // Quotas that operators define stay as they are.
    set(shard, whole(7, 8, { ...first, routes: {}, quotas: { north: { share: 0.3 } } }));
    set(shard, items(8, 9, { one: route('/one/') }));
    expect(shares()).toEqual({ north: 0.3 });
  });

  it('travels as a small change where one route of two thousand changed', () => {
    const shard = new ConfigurationShard();
    const routes = Object.fromEntries(
      Array.from({ length: 2000 }, (_, at) => [`route-${at}`, route(`/route/${at}/`, { words: { Label: `route-${at}` } })]),
    );
    set(shard, whole(0, 1, { ...first, routes }));
    const before = shard.configuration === undefined ? undefined : withoutSourceDocuments(shard.configuration);
    expect(set(shard, items(1, 2, { 'route-7': route('/route/7/', { timeoutMs: 900 }) }))).toEqual('taken');
    const after = shard.configuration === undefined ? undefined : withoutSourceDocuments(shard.configuration);
    const patch = mergePatchBetween(before, after);
    expect(mergePatch(before, patch)).toEqual(after);
    expect(patch).toEqual({ revision: 2, routes: { 'route-7': { timeoutMs: 900 } } });
    expect(shard.history.at(-1)?.differences.map((one) => one.place)).toEqual(['routes.route-7', 'revision']);
    expect(shard.history[0]?.differences.length).toEqual(51);
  });
});
