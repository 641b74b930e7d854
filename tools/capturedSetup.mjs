// Commands on the shard of the configuration as the build at commit db06e1c writes them: every kind, and every kind of return.

const service = { kind: 'whole', repeatable: true, replicas: { maxSlots: 64 } };
const route = (turn, more = {}) => ({ host: 'lots.example', prefix: `/nightly-${turn}/`, kind: 'lot', services: [{ service: 'ask', gain: 1 }], lot: { dueMs: 60_000 }, ...more });
const atMs = 1_700_000_000_000;

const items = (routes, drop = []) => ({ t: 'items', routes, services: {}, drop: { routes: drop, services: [] } });
const set = (machine, mark, change, more = {}) => ({ t: 'set', change: { basedOn: machine.setup?.mark ?? 0, mark, hash: `content of ${mark}`, change, ...more }, atMs: atMs + mark });

/** Twelve signed versions, and more settled plans than can be read whole. */
export function setupFiller(sign) {
  const steps = {};
  for (let turn = 1; turn <= 11; turn += 1) {
    const words = { note: `${turn} `.repeat(20) };
    steps[`filler-${turn}`] = (machine) =>
      set(machine, turn, turn === 1 ? { t: 'whole', setup: { joining: true, services: { ask: service, book: service }, routes: { nightly: route(1) }, words } } : items({ nightly: route(turn, { words }) }));
    steps[`filler-${turn}-audit`] = sign;
  }
  // Planned on what is no longer in force: settled at once, and the first of them only remembered.
  for (let place = 0; place < 10; place += 1)
    steps[`old-${place}`] = { t: 'plan', plan: { id: `old-${place}`, base: 0, madeMs: atMs, differences: [], effects: [] } };
  steps['filler-small'] = (machine) => set(machine, 12, { t: 'whole', setup: { joining: true, services: { ask: service, book: service }, routes: { nightly: route(12) } } });
  steps['filler-small-audit'] = sign;
  return steps;
}

/** The last sixteen bring every kind of return. */
export function setupSteps(prefix, sign) {
  const from = prefix === 'a' ? 20 : 40;
  const plan = (number, machine, base, next) => ({
    t: 'plan',
    plan: {
      id: `${prefix}-${number}`, base, madeMs: atMs + number,
      differences: [{ place: 'services.book', before: 1, after: { words: true } }, { place: 'mark' }],
      effects: [{ effect: 'ends service book', needsAcknowledgement: number === 1 }],
      next: { ...machine.setup, ...next },
    },
  });
  const member = (place) => ({ identity: { name: `core-${place}`, address: `127.0.20.${place}:7000`, memberId: `core-${place}-${prefix}` }, isVoter: place < 3 });
  const confirm = (number, acknowledged) => ({ t: 'confirm', plan: `${prefix}-${number}`, acknowledged, atMs: atMs + from });
  const stores = [1, 2, 3].map((place) => [`store-${place}`, { role: 'store', address: `127.0.30.${place}:7000`, zone: 'abc'[place - 1] }]);
  const steps = [
    (machine) => plan(1, machine, machine.version, { mark: from }),
    confirm(1, false),
    confirm(1, true),
    sign,
    (machine) => plan(2, machine, machine.version - 1, { mark: from + 1 }),
    confirm(2, true),
    confirm(9, true),
    (machine) => set(machine, from + 2, items({ [`${prefix}-daily`]: route(from, { host: `${prefix}.example` }) })),
    (machine) => set(machine, from + 3, items({}), { basedOn: 1 }),
    (machine) => set(machine, from + 4, items({ broken: route(from, { services: [{ service: 'nowhere', gain: 1 }] }) })),
    (machine) => ({ t: 'sit', seating: {
      version: machine.seating.version + 1,
      machines: { 'core-1': { role: 'controller', address: '127.0.20.1:7000', zone: 'a' }, ...Object.fromEntries(stores) },
      shards: { setup: ['core-1'], 'services-0': ['core-1'], 'lots-0': ['store-1', 'store-2'] },
      emptying: machine.seating.emptying,
    } }),
    { t: 'empty', name: 'store-9', away: [], least: 1 },
    { t: 'empty', name: prefix === 'a' ? 'store-3' : 'store-2', away: ['store-1'], least: 2 },
    { t: 'empty', name: prefix === 'a' ? 'store-3' : 'store-2', away: [], least: 1 },
    { t: 'found', shard: `lots-${prefix === 'a' ? 0 : 1}`, seats: [member(1), member(2), member(3)] },
    (machine) => ({ t: 'duty', duty: 'dispatcher', claim: { holder: 'core-1', address: '127.0.20.1:7000', epoch: (machine.duties.dispatcher?.epoch ?? 0) + 1 } }),
    // Open when the file ends. The last version has no signature yet.
    (machine) => plan(3, machine, machine.version, { mark: from + 5 }),
  ];
  return Object.fromEntries(steps.map((step, at) => [`${prefix}-${at}`, step]));
}
