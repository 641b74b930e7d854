// Wrote testing/fixtures/stored-data with the classes that shipped at commit db06e1c: the files of one controller and of one store,
// and what must be read back from them. It speaks the names of that build. The files stand for what a fleet in use has on its
// disks, so they are not written again by later builds; another form of the files gets a folder of its own.
import { mkdir, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { ShardFile, ShardHost } from '@pewterlanding/consensus';
import { AuditArchive, AuditSigner, firstStart, nextEntry, ServiceShard, SetupShard } from '@pewterlanding/controller';
import { Counters, Journal, NodeDisk, pause, quietLog, SystemClock, WireError } from '@pewterlanding/runtime';
import { LotShard } from '@pewterlanding/store';
import { KeptLives } from '../programs/controller/dist/src/keptLives.js';
import { lotSteps } from './capturedLots.mjs';
import { plain } from './capturedPlain.mjs';
import { setupFiller, setupSteps } from './capturedSetup.mjs';

const folder = new URL('../testing/fixtures/stored-data/', import.meta.url).pathname;
const clock = new SystemClock();
const failureTimeoutMs = 60;
const whole = Number.MAX_SAFE_INTEGER;

/** A wire on which nobody answers. */
const wire = (here) => ({
  here,
  ask: async () => Promise.reject(new WireError('unsent', 'nobody is there')),
  tell: () => undefined,
  serve: () => undefined,
});

const machines = {
  controller: { name: 'core-1', address: '127.0.20.1:7000' },
  store: { name: 'store-1', address: '127.0.30.1:7000' },
};

async function until(holds, what) {
  for (let turn = 0; turn < 2000; turn += 1) {
    if (holds()) return;
    await pause(clock, 5);
  }
  throw new Error(`waited in vain: ${what}`);
}

/** One life of a member that leads alone: runs the steps and ends. */
async function live({ of, shard, machine, compactBytes = whole, run }) {
  const disk = new NodeDisk(join(folder, of));
  const counters = new Counters();
  const ground = { clock, wire: wire(machines[of].address), disk, counters, log: quietLog };
  const fatal = (error) => { throw error; };
  const minted = `${machines[of].name}-${shard}`;
  const host = new ShardHost({ ...ground, ...machines[of], bounds: { failureTimeoutMs, compactBytes }, fatal, mintMemberId: () => minted });
  const self = await host.identity(shard);
  const member = await host.host(shard, [{ identity: self, isVoter: true }], machine);
  await until(() => member.isLeader, `${shard} leads`);
  const returns = await run({ member, machine, self, counters, disk });
  await pause(clock, 30);
  host.close();
  return { returns, term: member.term, group: member.group(), committed: member.committed, disk };
}

const follower = (place, of) => ({
  identity: { name: `${of}-${place}`, address: `127.0.40.${place}:7000`, memberId: `${of}-${place}-follows` },
  isVoter: false,
});

/** Proposes each step; a step may be made from the state that the steps before it left. */
async function propose({ member, machine }, steps) {
  const returns = {};
  for (const [id, step] of Object.entries(steps)) {
    const command = typeof step === 'function' ? await step(machine) : step;
    returns[id] = plain.returned(await member.propose(id, command));
  }
  return returns;
}

const blank = { index: 0, term: 0, group: [], stateMachine: undefined, deduplication: [] };
const openFile = (disk, shard) => new ShardFile(new Journal(disk, `${shard}.shard`)).open(blank);

/** A shard whose file holds entries behind a snapshot, the snapshot, entries after it, group records on both sides, and votes. */
async function capture({ of, shard, make, state, filler, before, after }) {
  const options = (more) => ({ of, shard, machine: make(), ...more });
  const grow = (places) => ({ member, self }) =>
    member.changeGroup([{ identity: self, isVoter: true }, ...places.map((place) => follower(place, of))]);
  const first = await live(options({ run: async (life) => {
    await propose(life, filler);
    await grow([2])(life);
    return propose(life, before);
  } }));
  const long = await openFile(first.disk, shard);
  const journal = new Journal(first.disk, `${shard}.shard`);
  await journal.open();
  // Just above the length, so that the vote and the opening record of the next life make it compact.
  await live(options({ compactBytes: journal.lengthBytes + 1, run: ({ counters }) => until(() => counters.get('consensus.rewritten') > 0, 'compacts') }));
  const last = await live(options({ run: async (life) => {
    const returns = await propose(life, after);
    await grow([2, 3])(life);
    return returns;
  } }));
  // A life that only voted and opened its term.
  const machine = make();
  const end = await live({ of, shard, machine, run: async () => undefined });
  const { log, currentTerm } = await openFile(end.disk, shard);
  const inSnapshot = make();
  inSnapshot.restore(log.snapshot.stateMachine);
  const kinds = (entries) => new Set(entries.filter(({ what }) => what.t === 'command').map(({ what }) => what.command.t));
  const behind = log.after(log.base.index, log.snapshot.index - log.base.index);
  const following = log.after(log.snapshot.index, whole);
  console.log(shard, 'last index', long.log.lastIndex, 'snapshot', log.snapshot.index, 'behind', behind.length, [...kinds(behind)].sort().join(' '));
  console.log('  after', following.length, [...kinds(following)].sort().join(' '));
  const returns = Object.fromEntries(log.snapshot.deduplication.map(([id, back]) => [id, plain.returned(back)]));
  return {
    file: `${of}/${shard}.shard`,
    member: { name: end.group[0].identity.name, id: end.group[0].identity.memberId },
    term: currentTerm,
    members: plain.group(log.group()),
    membersInSnapshot: plain.group(log.snapshot.group),
    lastIndex: log.lastIndex,
    snapshotIndex: log.snapshot.index,
    firstIndex: log.base.index + 1,
    groupRecords: [...behind, ...following].filter(({ what }) => what.t === 'group').length,
    commands: [...behind, ...following].filter(({ what }) => what.t === 'command').length,
    stateInSnapshot: state(inSnapshot),
    returnsInSnapshot: returns,
    state: state(machine),
    returns: last.returns,
  };
}

await rm(folder, { recursive: true, force: true });
await mkdir(folder, { recursive: true });
const controllerDisk = new NodeDisk(join(folder, 'controller'));

const signer = await AuditSigner.open(controllerDisk, 'core-1');
const signed = new Map();
const setup = await capture({
  of: 'controller',
  shard: 'setup',
  make: () => new SetupShard((line) => signed.set(line.confirmation.version, line)),
  state: plain.setup,
  filler: setupFiller((machine) => nextEntry(signer, machine)),
  before: setupSteps('a', (machine) => nextEntry(signer, machine)),
  after: setupSteps('b', (machine) => nextEntry(signer, machine)),
});
// Only the sixteen newest commands are known by their ids.
setup.returns = Object.fromEntries(Object.entries(setup.returns).slice(-16));

// Known long after their documents went.
setup.remembered = { 'old-0': 'plan conflict at 11', change: 'change taken at 42' };

const lines = [...signed.values()];
const archive = new AuditArchive({
  disk: controllerDisk,
  wire: wire(machines.controller.address),
  clock,
  counters: new Counters(),
  failureTimeoutMs,
  head: () => ({ entries: lines.length, hash: '', newest: [] }),
  peers: () => [],
});
for (const line of lines) archive.keep([line]);
const kept = await archive.newest(lines.length);
archive.close();

const serviceSteps = (prefix, from) => ({
  [`${prefix}-1-learn`]: { t: 'learn', service: `${prefix}/ask`, outputTokens: 300 + from },
  [`${prefix}-2-left`]: { t: 'left', service: `${prefix}/ask`, address: '127.0.50.1:9000', incarnation: 7 + from },
  [`${prefix}-3-left older`]: { t: 'left', service: `${prefix}/ask`, address: '127.0.50.1:9000', incarnation: 3 },
  [`${prefix}-4-left`]: { t: 'left', service: 'book', address: `127.0.50.${2 + from}:9000`, incarnation: 12 },
  [`${prefix}-5-learn`]: { t: 'learn', service: 'book', outputTokens: 900 + from },
});
const services = await capture({
  of: 'controller',
  shard: 'services-0',
  make: () => new ServiceShard(),
  state: plain.services,
  filler: Object.fromEntries(Array.from({ length: 60 }, (_, at) => [`learned-${at}`, { t: 'learn', service: 'filler', outputTokens: at }])),
  before: serviceSteps('a', 0),
  after: serviceSteps('b', 1),
});

await firstStart(controllerDisk, true);

const replica = (address, state, more = {}) => ({ service: 'ask', address, slots: 4, incarnation: 5, state, ...more });
const lives = [
  replica('127.0.50.1:9000', 'serving', { zone: 'a', life: 'life-1', models: ['small', 'large'] }),
  replica('127.0.50.2:9000', 'leaving', { incarnation: Number.MAX_SAFE_INTEGER, life: 'life-2' }),
  replica('127.0.50.3:9000', 'silent', { incarnation: 9, life: 'life-3' }),
  replica('127.0.50.4:9000', 'serving', { incarnation: 2 }),
];
const keeper = new KeptLives({ disk: controllerDisk, clock, counters: new Counters(), gatherMs: 5, lives: () => lives });
keeper.changed();
await pause(clock, 100);
keeper.close();

const batches = await capture({
  of: 'store',
  shard: 'lots-0',
  make: () => new LotShard(),
  state: plain.batches,
  filler: {
    ...Object.fromEntries(Array.from({ length: 9 }, (_, at) => [`filler-${at}`, lotSteps.filler(at)])),
    'filler-expire': { t: 'fence', epoch: 0 },
    'filler-forget': { t: 'forget', beforeMs: 100 },
  },
  before: lotSteps.all('a', 1),
  after: lotSteps.all('b', 3),
});

/** The file of a member that was added to its group: it began on no members, and holds no snapshot. */
async function captureAdded() {
  const disk = new NodeDisk(join(folder, 'store'));
  const minted = 'store-1-lots-1';
  await new Journal(disk, 'lots-1.member').rewrite([{ memberId: minted }]);
  const file = new ShardFile(new Journal(disk, 'lots-1.shard'));
  await file.open(blank);
  await file.vote(4);
  const group = [{ identity: { ...machines.store, memberId: minted }, isVoter: true }];
  const [hand] = Object.values(lotSteps.all('c', 1));
  await file.entries(4, 0, [{ term: 4, what: { t: 'open' } }, { term: 4, what: { t: 'group', group } }]);
  await file.entries(4, 2, [{ term: 4, what: { t: 'command', id: 'c-hand', command: hand } }]);
  const machine = new LotShard();
  machine.apply(machine.read(hand));
  return { file: 'store/lots-1.shard', term: 4, members: plain.group(group), lastIndex: 3, state: plain.batches(machine), returns: { 'c-hand': 'done' } };
}
const added = await captureAdded();

const manifest = {
  controller: machines.controller,
  store: machines.store,
  setup,
  services,
  batches,
  added,
  audit: { version: lines.length, plans: kept.map(({ confirmation }) => confirmation.plan), key: signer.publicKey.kid },
  replicas: lives.map(({ address, state, life = null, slots, incarnation, zone = null, models = [] }) => ({ address, state, life, slots, counter: incarnation, zone, models })),
};
await writeFile(join(folder, 'manifest.json'), `${JSON.stringify(manifest, undefined, 1)}\n`);
process.exit(0);
