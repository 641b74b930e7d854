import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { BatchCommand, BatchShard } from '../src/index.js';
import { format1Commands } from './support/format1Commands.js';
import { format1Records } from './support/format1Records.js';

const shard = new BatchShard();

describe('BatchShard reading format 1', () => {
  it('covers every kind of command', () => {
    const kinds = BatchCommand.options.map((option) => option.entries.kind.literal);
    expect(new Set(format1Commands.map(({ present }) => present.kind))).toEqual(new Set(kinds));
  });

  for (const { stored, present } of format1Commands) {
    it(`reads a stored ${present.kind} command as its present form`, () => {
      expect(shard.read(stored)).toEqual(v.parse(BatchCommand, present));
    });

    it(`leaves a present ${present.kind} command unchanged`, () => {
      expect<unknown>(shard.read(present)).toEqual(present);
    });
  }

  it('reads results, and leaves present ones unchanged', () => {
    const stored = { done: false, why: 'epoch', claimed: [{ lot: 'l', place: 2 }], epoch: 4 };
    const present = { done: false, reason: 'term', claimed: [{ batch: 'l', position: 2 }], term: 4 };
    expect<unknown>(shard.readReturn(stored)).toEqual(present);
    expect<unknown>(shard.readReturn(present)).toEqual(present);
    for (const reason of ['unknown', 'different', 'lease', 'ended', 'state', 'full'])
      expect<unknown>(shard.readReturn({ done: false, why: reason })).toEqual({ done: false, reason });
  });

  it('restores snapshots, and its own again', () => {
    const { stored, present } = format1Records;
    const restored = new BatchShard();
    restored.restore({ epoch: 5, lots: [stored] });
    expect<unknown>(restored.snapshot()).toEqual({ term: 5, batches: [present] });
    const again = new BatchShard();
    again.restore(restored.snapshot());
    expect(again.snapshot()).toEqual(restored.snapshot());
  });
});
