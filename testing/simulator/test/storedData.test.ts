import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { StateMachine } from '@pewterlanding/consensus';
import { StoredData } from './support/storedData.js';
import type { StoredFormat } from './support/storedFormat.js';

type State = Record<string, unknown>;

interface Expected {
  readonly returns: Readonly<Record<string, string>>;
  readonly state: State;
  readonly term: number;
  readonly members: readonly string[];
  readonly lastIndex: number;
  /** So many of the oldest returns give way to those of the commands that are written later. */
  readonly forgotten?: number;
}

/** Runs with a copy of the stored files. */
async function withCopy(run: (stored: StoredData) => Promise<void>): Promise<void> {
  const stored = await StoredData.copy();
  try {
    await run(stored);
  } finally {
    await stored.remove();
  }
}

/** Leads the stored shard, checks what is read, writes on, has the file rewritten, and checks the same of what was written. */
async function readsAndWritesOn<C, R, M extends StateMachine<C, R>>(
  stored: StoredData,
  format: StoredFormat<C, R, M>,
  expected: Expected,
): Promise<State> {
  const { term, members, state, returns, lastIndex, forgotten = 0 } = expected;
  const [harmless] = Object.values(format.later);
  if (harmless === undefined) throw new Error('nothing to write');
  expect(await stored.knownMembers(format)).toEqual([...members]);
  const later: Record<string, string> = {};
  const written = await stored.lead(format, async (shard) => {
    expect(shard.term()).toEqual(term + 1);
    expect(shard.members()).toEqual([...members]);
    expect(shard.state()).toEqual(state);
    // Each command that had its effect is known by its id: another one under it has none, and brings the stored return.
    const again: Record<string, string> = {};
    for (const id of Object.keys(returns)) again[id] = await shard.propose(id, harmless);
    expect(again).toEqual({ ...returns });
    expect(shard.state()).toEqual(state);
    for (const [id, command] of Object.entries(format.later)) later[id] = await shard.propose(id, command);
    return shard.state();
  });
  expect(written).not.toEqual(state);
  const before = await stored.file(format);
  expect(before.lastIndex).toEqual(lastIndex + 1 + Object.keys(returns).length + Object.keys(later).length);
  // Rewritten at its first record, then opened twice more.
  for (const compactBytes of [1, Number.MAX_SAFE_INTEGER, Number.MAX_SAFE_INTEGER]) {
    const check = (shard: { readonly state: () => State; readonly members: () => readonly string[] }): void => {
      expect(shard.state()).toEqual(written);
      expect(shard.members()).toEqual([...members]);
    };
    await stored.lead(format, async (shard) => check(shard), { compactBytes });
  }
  const after = await stored.file(format);
  expect(after.snapshotIndex > before.lastIndex).toEqual(true);
  expect(after.stateInSnapshot).toEqual(written);
  expect(after.members).toEqual([...members]);
  // The returns went into the snapshot, those of the newest commands last.
  const kept = { ...Object.fromEntries(Object.entries(returns).slice(forgotten)), ...later };
  expect(Object.entries(after.returnsInSnapshot).slice(-Object.keys(kept).length)).toEqual(Object.entries(kept));
  for (const id of Object.keys(returns).slice(0, forgotten)) expect(after.returnsInSnapshot[id]).toEqual(undefined);
  return written;
}

describe('data that an earlier build stored', () => {
  it('is read from the file of the configuration shard, and written on', async () =>
    withCopy(async (stored) => {
      const { remembered: _remembered, state, returns, ...file } = stored.manifest.setup;
      expect(await stored.file(StoredData.configuration)).toEqual(file);
      const written = await readsAndWritesOn(stored, StoredData.configuration, { ...file, state, returns, forgotten: 1 });
      expect([written['version'], written['number']]).toEqual([17, 100]);
      expect(written['routeHosts']).toEqual({ nightly: 'lots.example /nightly-12/ lot', 'b-daily': 'b.example /nightly-40/ lot' });
      for (const part of ['serviceKinds', 'duties', 'bootstrapped', 'placement', 'keys']) expect(written[part]).toEqual(state[part]);
    }));

  it('holds settled plans and taken changes whose documents are gone', async () =>
    withCopy(async (stored) => {
      const { remembered } = stored.manifest.setup;
      expect(await stored.lead(StoredData.configuration, (shard) => stored.remembered(shard))).toEqual(remembered);
    }));

  it('is read from the file of a service shard, and written on', async () =>
    withCopy(async (stored) => {
      const { state, returns, ...file } = stored.manifest.services;
      expect(await stored.file(StoredData.services)).toEqual(file);
      const written = await readsAndWritesOn(stored, StoredData.services, { ...file, state, returns });
      expect(written).toEqual({ ...state, later: { tokens: 777, ended: {} } });
    }));

  it('is read from the file of a batch shard, and written on', async () =>
    withCopy(async (stored) => {
      const { state, returns, ...file } = stored.manifest.batches;
      expect(await stored.file(StoredData.batches)).toEqual(file);
      const written = await readsAndWritesOn(stored, StoredData.batches, { ...file, state, returns });
      expect(written['held']).toEqual(state['held']);
      const { later, ...rest } = StoredData.batchesIn(written);
      expect(rest).toEqual(StoredData.batchesIn(state));
      expect(JSON.stringify(later).includes('"state":"COMPLETED","text":"a later answer"')).toEqual(true);
    }));

  it('is read from the file of a member that was added and has no snapshot yet, and written on', async () =>
    withCopy(async (stored) => {
      const { added } = stored.manifest;
      const { term, members, lastIndex, snapshotIndex, commands } = await stored.file(StoredData.addedBatches);
      expect({ term, members, lastIndex }).toEqual({ term: added.term, members: added.members, lastIndex: added.lastIndex });
      expect([snapshotIndex, commands]).toEqual([0, 1]);
      await readsAndWritesOn(stored, StoredData.addedBatches, added);
    }));

  it('is read from the audit file, whose chain verifies and goes on under the stored key', async () =>
    withCopy(async (stored) => {
      const { audit } = stored.manifest;
      expect(await stored.auditKey()).toEqual(audit.key);
      await stored.lead(StoredData.configuration, async (shard) => {
        const { findings, ...trail } = await stored.audit(shard);
        expect(findings).toEqual([]);
        expect(trail).toEqual({ version: audit.version, plans: audit.plans });
        await stored.sign(shard);
      });
      await stored.lead(StoredData.configuration, async (shard) => {
        const { findings, version, plans } = await stored.audit(shard);
        expect(findings).toEqual([]);
        expect(version).toEqual(audit.version + 2);
        expect(plans.slice(0, audit.version)).toEqual(audit.plans);
        expect(shard.state()['keys']).toEqual([audit.key]);
      });
    }));

  it('is read from the file of replica lives, and written on', async () =>
    withCopy(async (stored) => {
      const { replicas } = stored.manifest;
      const addresses = ['127.0.50.4:9000', '127.0.50.9:9000'];
      expect(await stored.replicas(addresses)).toEqual(replicas);
      // One that names no life is kept again once it has spoken.
      const heard = addresses.map((address) => ({
        address,
        state: 'serving',
        life: null,
        slots: 2,
        counter: 3,
        zone: null,
        models: [],
      }));
      expect(await stored.replicas()).toEqual([...replicas.slice(0, 3), ...heard]);
    }));

  it('says that the disk is one of the very first start until that is over', async () =>
    withCopy(async (stored) => {
      expect(await stored.firstStart()).toEqual(true);
      await stored.endFirstStart();
      expect(await stored.firstStart()).toEqual(false);
    }));

  it('is refused, and left as it is, where a shard file holds a record of an unknown kind', async () => {
    const unknown = { kind: 'of a later build', term: 9 };
    const refused = async <C, R, M extends StateMachine<C, R>>(format: StoredFormat<C, R, M>): Promise<void> =>
      withCopy(async (stored) => {
        await stored.appendRecord(format, unknown);
        const bytes = await stored.bytes(format);
        await expect(stored.file(format)).toBeRejected();
        await expect(stored.knownMembers(format)).toBeRejected();
        await expect(stored.lead(format, async () => undefined)).toBeRejected();
        expect(await stored.bytes(format)).toEqual(bytes);
      });
    await refused(StoredData.configuration);
    await refused(StoredData.services);
    await refused(StoredData.batches);
    await refused(StoredData.addedBatches);
  });
});
