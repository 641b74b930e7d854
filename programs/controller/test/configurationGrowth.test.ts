import { describe, it } from 'node:test';
import { Encoder } from 'cbor-x';
import { expect } from 'earl';
import * as v from 'valibot';
import type { Disk } from '@pewterlanding/runtime';
import { NodeName, PlanId } from '@pewterlanding/model';
import { AuditSigner, nextEntry, ConfigurationShard, verifyAudit } from '../src/index.js';
import type { AuditLine, ChangeOutcome, ConfigurationChange } from '../src/index.js';

type Items = Record<string, unknown>;

const noDisk: Disk = {
  read: async () => undefined,
  append: async () => undefined,
  replace: async () => undefined,
  remove: async () => undefined,
  list: async () => [],
};

/** Changes between two restarts. */
const restartEvery = 80 + Number(process.env['PROPERTY_SEED'] ?? 10);

const service: Items = { kind: 'whole', idempotent: true, replicas: { maxSlots: 64 } };
const route = (turn: number): Items => ({
  host: 'one.example',
  prefix: `/one-${turn % 7}/`,
  kind: 'whole',
  services: [{ service: 'a', weight: 1 }],
});
const change = (turn: number, hash = `content of ${turn}`): ConfigurationChange => ({
  basedOn: turn - 1,
  revision: turn,
  hash,
  change:
    turn === 1
      ? { kind: 'whole', configuration: { joining: true, services: { a: service }, routes: { one: route(1) } } }
      : { kind: 'items', routes: { one: route(turn) }, services: {}, drop: { routes: [], services: [] } },
});

function set(shard: ConfigurationShard, put: ConfigurationChange): ChangeOutcome['outcome'] | undefined {
  return shard.apply(shard.read(structuredClone({ kind: 'set', change: put, atMs: put.revision }))).change?.outcome;
}

/** So many changes, each signed, as a leader has them; the shard begins anew from its snapshot now and then. */
async function changed(turns: number, lines: AuditLine[] = []): Promise<ConfigurationShard> {
  const signer = await AuditSigner.open(noDisk, v.parse(NodeName, 'core-1'));
  let shard = new ConfigurationShard((line) => lines.push(line));
  for (let turn = 1; turn <= turns; turn += 1) {
    expect(set(shard, change(turn))).toEqual('taken');
    const command = await nextEntry(signer, shard);
    if (command === undefined) throw new Error('nothing to sign');
    shard.apply(shard.read(command));
    if (turn % restartEvery !== 0) continue;
    const next = new ConfigurationShard((line) => lines.push(line));
    next.restore(structuredClone(shard.snapshot()));
    shard = next;
  }
  return shard;
}

const bytesOf = (shard: ConfigurationShard): number => new Encoder({ useRecords: false }).encode(shard.snapshot()).length;

describe('the configuration shard after many changes', () => {
  it('recognizes each change of a day, and answers its number under other content with a conflict', async () => {
    const shard = await changed(1000);
    const again = Array.from({ length: 1000 }, (_, at) => set(shard, change(at + 1)));
    expect(again.filter((outcome) => outcome !== 'taken')).toEqual([]);
    expect([1, 500, 1000].map((turn) => set(shard, change(turn, 'other content')))).toEqual(['conflict', 'conflict', 'conflict']);
    // On top of what is in force its number is not above the current one.
    expect(set(shard, { ...change(7, 'other content'), basedOn: 1000 })).toEqual('invalid');
    // Also where a planned configuration without a number came between.
    const planned = v.parse(PlanId, 'planned');
    const { revision: _revision, ...next } = shard.configuration ?? {};
    const plan = { id: planned, base: 1000, madeMs: 0, differences: [], effects: [], next };
    shard.apply(shard.read(structuredClone({ kind: 'plan', plan })));
    shard.apply(shard.read({ kind: 'confirm', plan: planned, acknowledged: true, atMs: 1 }));
    expect([shard.configuration?.revision, shard.version]).toEqual([0, 1001]);
    expect(set(shard, { ...change(1000, 'other content'), basedOn: 0 })).toEqual('conflict');
    expect(set(shard, change(1000))).toEqual('taken');
    expect(shard.version).toEqual(1001);
  });

  it('is as large as after a few, and the entries that it dropped still make a whole trail', async () => {
    const lines: AuditLine[] = [];
    const many = await changed(1000, lines);
    const few = await changed(10);
    expect(bytesOf(many) < bytesOf(few) * 1.1).toEqual(true);
    const entries = new Map(lines.map((line) => [line.confirmation.version, line.entry]));
    const trail = { version: many.version, entries: [...entries.values()], keys: [...many.auditKeys] };
    expect(await verifyAudit(trail)).toEqual([]);
    expect((await verifyAudit({ ...trail, entries: trail.entries.filter((_, at) => at !== 400) })).length > 0).toEqual(true);
  });
});
