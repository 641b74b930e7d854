import { describe, it } from 'node:test';
import { expect } from 'earl';
import { QuotaTree } from '../src/index.js';
import { quotaName } from './support/quotaName.js';

const under = (parent: string | undefined, share: number, lends = true) => ({
  share,
  lends,
  ...(parent === undefined ? {} : { parent: quotaName(parent) }),
});

describe('QuotaTree lenders', () => {
  const tree = new QuotaTree(
    new Map([
      [quotaName('east'), under(undefined, 0.5)],
      [quotaName('west'), under(undefined, 0.5)],
      [quotaName('east-a'), under('east', 0.4)],
      [quotaName('east-b'), under('east', 0.4)],
      [quotaName('east-b1'), under('east-b', 0.5)],
      [quotaName('east-c'), under('east', 0.1, false)],
      [quotaName('west-a'), under('west', 0.9)],
    ]),
  );
  const lenders = (name: string): readonly string[] => tree.lenders(quotaName(name)).filter((one) => one !== name);

  it('are the nearest relatives first, and only those that lend', () => {
    expect(lenders('east-a')).toEqual(['east', 'east-b', 'east-b1', 'west', 'west-a']);
    expect(lenders('east-b')).toEqual(['east-b1', 'east', 'east-a', 'west', 'west-a']);
    expect(lenders('east-b1')).toEqual(['east-b', 'east', 'east-a', 'west', 'west-a']);
    expect(lenders('west')).toEqual(['west-a', 'east', 'east-a', 'east-b', 'east-b1']);
  });

  it('are one list for all children of a quota', () => {
    expect(tree.lenders(quotaName('east-a')) === tree.lenders(quotaName('east-c'))).toEqual(true);
  });
});
