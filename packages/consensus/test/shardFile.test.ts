import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Journal } from '@pewterlanding/runtime';
import type { Disk } from '@pewterlanding/runtime';
import { ShardFile } from '../src/log/shardFile.js';
import { GroupMember } from '../src/group/groupMember.js';

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

describe("a part's file", () => {
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
});
