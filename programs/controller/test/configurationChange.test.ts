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

function set(part: ConfigurationShard, change: ConfigurationChange): ChangeOutcome['outcome'] | undefined {
  // As it comes back from a log: whatever is not in its shape is lost or refused.
  const command = part.read(structuredClone({ kind: 'set', change, atMs: 1 }));
  return part.readReturn(part.apply(command)).change?.outcome;
}

describe('a setup put in force in one call', () => {
  it('is taken once, and again said to be taken when newer ones followed, also after a restart', () => {
    const part = new ConfigurationShard();
    expect([
      set(part, whole(0, 5)),
      set(part, items(5, 9, {})),
      set(part, whole(0, 5)),
      part.version,
      part.configuration?.revision,
    ]).toEqual(['taken', 'taken', 'taken', 2, 9]);
    const next = new ConfigurationShard();
    next.restore(structuredClone(part.snapshot()));
    expect([set(next, whole(0, 5)), next.version, next.history.map((one) => one.version)]).toEqual(['taken', 2, [1, 2]]);
  });

  it('wins alone of two on the same setup, whatever their marks', () => {
    const part = new ConfigurationShard();
    set(part, whole(0, 5));
    const other: ConfigurationChange = { ...items(5, 7, { three: route('/three/') }), hash: 'another' };
    expect([set(part, items(5, 7, {})), set(part, other), set(part, items(5, 8, {})), set(part, items(0, 9, {}))]).toEqual([
      'taken',
      'conflict',
      'conflict',
      'conflict',
    ]);
    expect([part.configuration?.revision, Object.keys(part.configuration?.routes ?? {})]).toEqual([7, ['one', 'two']]);
  });

  it('changes nothing when it is invalid', () => {
    const part = new ConfigurationShard();
    set(part, whole(0, 5));
    const before = structuredClone(part.snapshot());
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
    expect(invalid.map((change) => set(part, change))).toEqual(invalid.map(() => 'invalid'));
    expect(part.snapshot()).toEqual(before);
    expect(set(part, items(5, 6, {}))).toEqual('taken');
  });

  it('replaces named items whole, takes out others, and keeps the words of the rest as they were sent', () => {
    const part = new ConfigurationShard();
    set(part, whole(0, 5));
    expect(set(part, items(5, 6, { two: route('/two/', { words: { Label: 'two' } }) }, {}, ['b', 'unheard of']))).toEqual('taken');
    const configuration = part.configuration;
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

  it('gives each host that hands in lots a branch, and follows the routes', () => {
    const part = new ConfigurationShard();
    set(part, whole(0, 5));
    const shares = (): unknown =>
      Object.fromEntries(Object.entries(part.configuration?.quotas ?? {}).map(([name, rule]) => [name, rule.share]));
    const quota = (name: string): string | undefined => part.configuration?.routes[v.parse(RouteName, name)]?.quota;
    expect([shares(), quota('one'), quota('two')]).toEqual([{ live: 0.5, 'two.example': 0.5 }, undefined, 'two.example']);
    set(part, items(5, 6, { odd: route('/odd/', { host: '_odd.example', kind: 'batch' }) }));
    expect([Object.keys(part.configuration?.quotas ?? {}).length, quota('odd')?.startsWith('h--odd.example-')]).toEqual([3, true]);
    set(part, items(6, 7, {}, {}, ['odd', 'two']));
    expect(shares()).toEqual({ live: 1 });
    // Branches that operators plant stay as they are.
    set(part, whole(7, 8, { ...first, routes: {}, quotas: { north: { share: 0.3 } } }));
    set(part, items(8, 9, { one: route('/one/') }));
    expect(shares()).toEqual({ north: 0.3 });
  });

  it('travels as a small change where one route of two thousand changed', () => {
    const part = new ConfigurationShard();
    const routes = Object.fromEntries(
      Array.from({ length: 2000 }, (_, at) => [`route-${at}`, route(`/route/${at}/`, { words: { Label: `route-${at}` } })]),
    );
    set(part, whole(0, 1, { ...first, routes }));
    const before = part.configuration === undefined ? undefined : withoutSourceDocuments(part.configuration);
    expect(set(part, items(1, 2, { 'route-7': route('/route/7/', { timeoutMs: 900 }) }))).toEqual('taken');
    const after = part.configuration === undefined ? undefined : withoutSourceDocuments(part.configuration);
    const patch = mergePatchBetween(before, after);
    expect(mergePatch(before, patch)).toEqual(after);
    expect(patch).toEqual({ revision: 2, routes: { 'route-7': { timeoutMs: 900 } } });
    expect(part.history.at(-1)?.differences.map((one) => one.place)).toEqual(['routes.route-7', 'revision']);
    expect(part.history[0]?.differences.length).toEqual(51);
  });
});
