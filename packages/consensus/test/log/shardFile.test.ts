import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Journal } from '@pewterlanding/runtime';
import type { Disk } from '@pewterlanding/runtime';
import type { Entry } from '../../src/log/entry.js';
import { ShardFile } from '../../src/log/shardFile.js';
import { UnsupportedFormatError } from '../../src/log/unsupportedFormatError.js';
import { GroupMember } from '../../src/group/groupMember.js';

function memoryDisk(): Disk {
  const files = new Map<string, Uint8Array>();
  return {
    read: async (file) => files.get(file),
    append: async (file, bytes) => void files.set(file, Buffer.concat([files.get(file) ?? new Uint8Array(), bytes])),
    replace: async (file, bytes) => void files.set(file, bytes),
    remove: async (file) => void files.delete(file),
    list: async () => [...files.keys()],
  };
}

/** What each record in the file is, without its contents. */
async function recordsIn(disk: Disk): Promise<readonly unknown[]> {
  const { records } = await new Journal(disk, 'p').open();
  return records.map((raw) => v.parse(v.object({ format: v.number(), kind: v.string() }), raw));
}

describe("a shard's file", () => {
  it('keeps what a member that was added has written, however often it is opened with the group it knows', async () => {
    const disk = memoryDisk();
    const group = [v.parse(GroupMember, { identity: { name: 'a', address: '10.0.0.1:7', memberId: 'm1' }, isVoter: true })];
    const open = (known: GroupMember[]) =>
      new ShardFile(new Journal(disk, 'p')).open({ index: 0, term: 0, group: known, stateMachine: undefined, deduplication: [] });
    const file = new ShardFile(new Journal(disk, 'p'));
    await file.open({ index: 0, term: 0, group: [], stateMachine: undefined, deduplication: [] });
    await file.entries(1, 0, [
      { term: 1, payload: { kind: 'open' } },
      { term: 1, payload: { kind: 'group', group } },
    ]);
    for (let starts = 0; starts < 3; starts += 1) {
      const { log } = await open(group);
      expect([log.lastIndex, log.at(1)?.payload.kind, log.snapshot.group, log.group()]).toEqual([2, 'open', [], group]);
    }
  });

  it('is read once for its members and the opening that follows, and holds the same as when it is opened at once', async () => {
    const disk = memoryDisk();
    let reads = 0;
    const counting: Disk = {
      ...disk,
      read: (file) => {
        reads += 1;
        return disk.read(file);
      },
    };
    const group = [v.parse(GroupMember, { identity: { name: 'a', address: '10.0.0.1:7', memberId: 'm1' }, isVoter: true })];
    const blank = { index: 0, term: 0, group: [], stateMachine: undefined, deduplication: [] };
    const written = new ShardFile(new Journal(disk, 'p'));
    await written.open({ ...blank, group });
    await written.vote(3);
    await written.entries(3, 0, [{ term: 3, payload: { kind: 'open' } }]);
    const file = new ShardFile(new Journal(counting, 'p'));
    expect(await file.group()).toEqual(group);
    expect(await file.group()).toEqual(group);
    const opened = await file.open(blank);
    expect(reads).toEqual(1);
    expect(opened).toEqual(await new ShardFile(new Journal(disk, 'p')).open(blank));
    // What is appended after it stands behind what was read.
    await file.vote(4);
    const again = await new ShardFile(new Journal(disk, 'p')).open(blank);
    expect([again.currentTerm, again.damaged, again.log.lastIndex]).toEqual([4, false, 1]);
  });

  it('says no members of a damaged file, whose opening says that it is damaged', async () => {
    const disk = memoryDisk();
    const blank = { index: 0, term: 0, group: [], stateMachine: undefined, deduplication: [] };
    const written = new ShardFile(new Journal(disk, 'p'));
    await written.open(blank);
    await written.vote(3);
    await written.vote(4);
    const bytes = Buffer.from((await disk.read('p')) ?? []);
    bytes.writeUInt8(bytes.readUInt8(10) ^ 0xff, 10);
    await disk.replace('p', bytes);
    const file = new ShardFile(new Journal(disk, 'p'));
    expect(await file.group()).toEqual([]);
    expect((await file.open(blank)).damaged).toEqual(true);
  });

  it('carries its format in each record that is written', async () => {
    const disk = memoryDisk();
    const group = [v.parse(GroupMember, { identity: { name: 'a', address: '10.0.0.1:7', memberId: 'm1' }, isVoter: true })];
    const file = new ShardFile(new Journal(disk, 'p'), 'orders-1');
    const { log } = await file.open({ index: 0, term: 0, group, stateMachine: undefined, deduplication: [] });
    await file.vote(1);
    const entries = [1, 2, 3].map((): Entry => ({ term: 1, payload: { kind: 'open' } }));
    await file.entries(1, 0, entries);
    expect(await recordsIn(disk)).toEqual([
      { format: 2, kind: 'snapshot' },
      { format: 2, kind: 'vote' },
      { format: 2, kind: 'entries' },
    ]);
    log.write(0, entries, 0);
    log.compact({ index: 2, term: 1, group, stateMachine: undefined, deduplication: [] }, 1);
    await file.rewrite(1, log);
    expect(await recordsIn(disk)).toEqual([
      { format: 2, kind: 'snapshot' },
      { format: 2, kind: 'tail' },
      { format: 2, kind: 'entries' },
    ]);
  });

  it('is read where its records carry no format', async () => {
    const disk = memoryDisk();
    await new Journal(disk, 'p').append({ kind: 'vote', term: 4 });
    const file = new ShardFile(new Journal(disk, 'p'), 'orders-1');
    const opened = await file.open({ index: 0, term: 0, group: [], stateMachine: undefined, deduplication: [] });
    expect([opened.currentTerm, opened.damaged]).toEqual([4, false]);
  });

  it('is refused with its shard and format, and left as it is, where any record is of a later format', async () => {
    const disk = memoryDisk();
    const journal = new Journal(disk, 'p');
    await journal.append({ format: 2, kind: 'vote', term: 4 });
    await journal.append({ format: 3, kind: 'lease', holder: 'b' });
    const before = await disk.read('p');
    const blank = { index: 0, term: 0, group: [], stateMachine: undefined, deduplication: [] };
    for (const read of [(file: ShardFile) => file.open(blank), (file: ShardFile) => file.group()]) {
      const error = await read(new ShardFile(new Journal(disk, 'p'), 'orders-1')).catch((thrown: unknown) => thrown);
      if (!(error instanceof UnsupportedFormatError)) throw new Error(`not refused by name: ${String(error)}`);
      expect([error.code, error.retriable, error.name]).toEqual(['PEWTER_UNSUPPORTED_FORMAT', false, 'UnsupportedFormatError']);
      expect([error.shard, error.format]).toEqual(['orders-1', 3]);
      expect(error.message).toEqual('orders-1: its file holds a record of format 3; this build reads formats up to 2');
    }
    expect(await disk.read('p')).toEqual(before);
  });
});
