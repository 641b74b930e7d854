import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { QuotaName } from '@pewterlanding/model';
import { QuotaTree } from '../src/index.js';

const named = (text: string): QuotaName => v.parse(QuotaName, text);
const under = (parent: string | undefined, share: number, lends = true) => ({
  share,
  lends,
  ...(parent === undefined ? {} : { parent: named(parent) }),
});

describe('lenders', () => {
  const tree = new QuotaTree(
    new Map([
      [named('east'), under(undefined, 0.5)],
      [named('west'), under(undefined, 0.5)],
      [named('east-a'), under('east', 0.4)],
      [named('east-b'), under('east', 0.4)],
      [named('east-b1'), under('east-b', 0.5)],
      [named('east-c'), under('east', 0.1, false)],
      [named('west-a'), under('west', 0.9)],
    ]),
  );
  const lenders = (name: string): readonly string[] => tree.lenders(named(name)).filter((one) => one !== name);

  it('are the nearest relatives first, and only those that lend', () => {
    expect(lenders('east-a')).toEqual(['east', 'east-b', 'east-b1', 'west', 'west-a']);
    expect(lenders('east-b')).toEqual(['east-b1', 'east', 'east-a', 'west', 'west-a']);
    expect(lenders('east-b1')).toEqual(['east-b', 'east', 'east-a', 'west', 'west-a']);
    expect(lenders('west')).toEqual(['west-a', 'east', 'east-a', 'east-b', 'east-b1']);
  });

  it('are one list for all children of a branch', () => {
    expect(tree.lenders(named('east-a')) === tree.lenders(named('east-c'))).toEqual(true);
  });
});
