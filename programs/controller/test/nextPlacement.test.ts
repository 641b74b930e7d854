import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { NodeName } from '@pewterlanding/model';
import { nextPlacement, Placement } from '../src/index.js';

const name = (text: string): NodeName => v.parse(NodeName, text);
const none: Placement = { version: 0, machines: {}, shards: {}, emptying: [] };

/** Stores as `s1a`: the last letter is the zone, what follows an @ the end of the address. */
function live(...texts: readonly string[]) {
  const machine = v.object({ ...Placement.entries.machines.value.entries, name: NodeName });
  return texts.map((text) => {
    const [who = '', at = who.slice(1, -1)] = text.split('@');
    return v.parse(machine, { name: who, role: 'store', zone: who.slice(-1), address: `10.0.0.${at}:7` });
  });
}

interface Given {
  readonly gone?: readonly string[];
  readonly allowsFewerCopies?: boolean;
  readonly copies?: number;
}

function member(now: Placement, here: readonly string[], { gone = [], allowsFewerCopies = false, copies = 3 }: Given = {}): Placement {
  const shards = ['lots-0', 'lots-1'].map((shard) => ({ shard, role: 'store' as const, copies, currentMembers: [] }));
  return nextPlacement(now, { live: live(...here), isLost: (one) => gone.includes(one), shards, allowsFewerCopies }) ?? now;
}

const members = (placement: Placement): readonly string[] => [...(placement.shards['lots-0'] ?? [])].sort();
const six = ['s1a', 's2b', 's3c', 's4a', 's5b', 's6c'];

describe('the placement on machines that joined', () => {
  it('waits for as many machines as there are copies, but not for ever', () => {
    expect(members(member(none, ['s1a', 's2b']))).toEqual([]);
    expect(members(member(none, ['s1a', 's2b'], { allowsFewerCopies: true }))).toEqual(['s1a', 's2b']);
    expect(members(member(member(none, ['s1a', 's2b'], { allowsFewerCopies: true }), ['s1a', 's2b', 's3c']))).toEqual([
      's1a',
      's2b',
      's3c',
    ]);
  });

  it('spreads over zones, and stays as it is when machines come', () => {
    const zonesOf = (placement: Placement): string =>
      [...(placement.shards['lots-0'] ?? [])]
        .map((one) => one.slice(-1))
        .sort()
        .join('');
    const now = member(none, six);
    expect(zonesOf(now)).toEqual('abc');
    expect(member(now, [...six, 's7a', 's8b']).shards).toEqual(now.shards);
  });

  it('spreads crowded copies once another zone has a machine', () => {
    const now = member(none, ['s1a', 's4a', 's7a']);
    const next = member(now, ['s1a', 's4a', 's7a', 's2b']);
    expect(members(next).filter((one) => one.endsWith('a')).length).toEqual(2);
    expect(member(next, ['s1a', 's4a', 's7a', 's2b'])).toEqual(next);
  });

  it('replaces a lost member by a newcomer, last in the order, and moves no other', () => {
    const now = member(none, ['s1a', 's2b', 's3c']);
    const before = now.shards['lots-0'] ?? [];
    const [lost = name('s1a'), ...stay] = before;
    const here = ['s1a', 's2b', 's3c'].filter((one) => one !== lost);
    expect(member(now, here, { gone: [lost] })).toEqual(now);
    expect(member(now, [...here, 's9a'])).toEqual({ ...now, version: 2, machines: expect.anything() });
    expect(member(now, [...here, 's9a'], { gone: [lost] }).shards['lots-0']).toEqual([...stay, name('s9a')]);
  });

  it('keeps a member of a known name at a new address, and forgets the drain of the machine before', () => {
    const now = { ...member(none, ['s1a', 's2b', 's3c', 's4a']), emptying: [name('s1a')] };
    const next = member(now, ['s1a@77', 's2b', 's3c', 's4a']);
    expect(next.machines[name('s1a')]?.address).toEqual(live('s1a@77')[0]?.address);
    expect(next.emptying).toEqual([]);
  });

  it('drains a store only where another can take its place, and forgets it once it is lost', () => {
    const four = ['s1a', 's2b', 's3c', 's4a'];
    const now = { ...member(none, four), emptying: [name('s2b')] };
    const next = member(now, four);
    expect(Object.values(next.shards).flat()).not.toInclude(name('s2b'));
    const few = { ...member(none, ['s1a', 's2b', 's3c']), emptying: [name('s2b')] };
    expect(members(member(few, ['s1a', 's2b', 's3c']))).toEqual(['s1a', 's2b', 's3c']);
    const left = member(next, ['s1a', 's3c', 's4a'], { gone: ['s2b'] });
    expect([left.emptying, left.machines[name('s2b')]]).toEqual([[], undefined]);
  });
});
