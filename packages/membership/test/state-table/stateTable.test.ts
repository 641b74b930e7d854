import { describe, it } from 'node:test';
import { expect } from 'earl';
import { mergePatchBetween, mergePatch } from '@pewterlanding/model';
import { StateTable } from '../../src/index.js';
import type { Update } from '../../src/index.js';

const whole = (version: number, value: unknown): Update => ({ key: 'setup', version: [version, 0], volatile: false, value });
const before = { bounds: { cap: 1, wait: 2 }, services: { a: { slots: [1, 2] }, b: {} }, gone: true };
const four: [number, number] = [4, 0];
const after = { bounds: { cap: 3, wait: 2 }, services: { a: { slots: [2] }, b: {}, c: { x: '' } } };

describe('updates sent as changes', () => {
  it('make the whole value from the version they start at, and carry only what changed', () => {
    const patch = mergePatchBetween(before, after);
    expect(patch).toEqual({ gone: null, bounds: { cap: 3 }, services: { a: { slots: [2] }, c: { x: '' } } });
    expect(mergePatch(before, patch)).toEqual(after);
    expect(mergePatchBetween(before, { ...after, none: null })).toEqual(undefined);
    const stateTable = new StateTable();
    stateTable.put(whole(4, before));
    const update = stateTable.whole({ ...whole(5, undefined), change: { from: [4, 0], patch } });
    expect(update).toEqual(whole(5, after));
  });

  it('are not applied to any other version', () => {
    const stateTable = new StateTable();
    const change = { ...whole(5, undefined), change: { from: four, patch: { cap: 1 } } };
    expect(stateTable.whole(change)).toEqual('unknown');
    stateTable.put(whole(3, before));
    expect(stateTable.whole(change)).toEqual('unknown');
    stateTable.put(whole(6, after));
    expect([stateTable.whole(change), stateTable.get('setup')?.value]).toEqual(['unknown', after]);
  });
});

describe('the checksum of a state table', () => {
  it('differs where two tables each lack the newer version of another key', () => {
    const versioned = (key: string, at: number): Update => ({ key, version: [1_800_000_000_000, at], volatile: false, value: at });
    const stateTables = [new StateTable(), new StateTable()];
    for (const stateTable of stateTables) for (const key of ['node/a', 'node/b', 'node/c']) stateTable.put(versioned(key, 0));
    const [one, other] = stateTables;
    expect(one?.checksum).toEqual(other?.checksum);
    one?.put(versioned('node/a', 1));
    other?.put(versioned('node/b', 1));
    expect(one?.checksum === other?.checksum).toEqual(false);
    other?.put(versioned('node/a', 1));
    one?.put(versioned('node/b', 1));
    expect(one?.checksum).toEqual(other?.checksum);
  });
});
