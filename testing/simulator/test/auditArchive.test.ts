import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { AuditArchive, auditHash, AuditHead, AuditSigner, verifyAudit } from '@pewterlanding/controller';
import type { AuditLine } from '@pewterlanding/controller';
import { Address, NodeName, PlanId } from '@pewterlanding/model';
import { Counters, seededRandom } from '@pewterlanding/runtime';
import { Instance, SimClock, SimDisk, SimMachine, SimNet, SimTime, SimTransport } from '../src/index.js';

const failureTimeoutMs = 1000;
const versions = 600;

async function trail(): Promise<{ readonly lines: readonly AuditLine[]; readonly key: Record<string, unknown> }> {
  const time = new SimTime();
  const opening = AuditSigner.open(new SimDisk(time, seededRandom(1)).open(new Instance()), v.parse(NodeName, 'core-1'));
  // The key is made outside of virtual time, and written inside.
  let signer: AuditSigner | undefined;
  void opening.then((opened) => (signer = opened));
  for (let turns = 0; signer === undefined && turns < 1e6; turns += 1) {
    await time.runTo(time.nowMs + 1);
    await new Promise(setImmediate);
  }
  const lines: AuditLine[] = [];
  for (let version = 1; version <= versions; version += 1) {
    const confirmation = { version, plan: v.parse(PlanId, `p${version}`), atMs: version, differences: [] };
    const previous = auditHash(lines.at(-1)?.entry ?? '');
    const { plan, atMs } = confirmation;
    lines.push({ confirmation, entry: (await signer?.sign({ version, plan, atMs, differences: 'x', previous })) ?? '' });
  }
  return { lines, key: { ...signer?.publicKey } };
}

describe("a controller's audit file", () => {
  it('survives restarts, and is filled by the others where a disk is empty or a snapshot jumped over lines', async () => {
    const { lines, key } = await trail();
    const time = new SimTime();
    const random = seededRandom(Number(process.env['PROPERTY_SEED'] ?? 5));
    const net = new SimNet(time, random);
    const addresses = ['127.0.20.1:7000', '127.0.20.2:7000'].map((text) => v.parse(Address, text));
    const disks = addresses.map(() => new SimDisk(time, random));
    let head = AuditHead.empty();
    const start = (position: number): { archive: AuditArchive; instance: Instance } => {
      const instance = new Instance();
      const here = addresses[position];
      const disk = disks[position];
      if (here === undefined || disk === undefined) throw new Error('no such machine');
      const machine = new SimMachine(`core-${position + 1}`, 'a', 0, time);
      const counters = new Counters();
      const clock = new SimClock(time, machine, instance);
      const transport = new SimTransport({ here, machine, instance, clock, counters, net });
      const peers = (): readonly Address[] => addresses.filter((address) => address !== here);
      const context = { disk: disk.open(instance), transport, clock, counters, failureTimeoutMs };
      return { instance, archive: new AuditArchive({ ...context, head: () => head, peers }) };
    };
    const read = async (archive: AuditArchive): Promise<readonly AuditLine[]> => {
      let got: readonly AuditLine[] | undefined;
      void archive.newest(versions).then((all) => (got = all));
      for (let turns = 0; got === undefined && turns < 100; turns += 1) await time.runTo(time.nowMs + 100);
      return got ?? [];
    };
    const first = start(0);
    for (const line of lines) {
      head = AuditHead.with(head, line);
      first.archive.keep([line]);
      await time.runTo(time.nowMs + 3);
    }
    // A machine that comes new has only what the state holds.
    const second = start(1);
    expect((await read(second.archive)).length).toEqual(versions);
    first.instance.end();
    second.instance.end();
    const restarted = start(1);
    const kept = await read(restarted.archive);
    expect(await verifyAudit({ version: versions, entries: kept.map((line) => line.entry), keys: [key] })).toEqual([]);
  });
});
