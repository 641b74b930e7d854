import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { askUntilMajority } from '../../src/election/askUntilMajority.js';
import { GroupMember } from '../../src/group/index.js';

const members = ['b', 'c', 'd', 'e'].map((name, at) =>
  v.parse(GroupMember, { identity: { name, address: `10.0.0.${at + 2}:7`, memberId: name }, isVoter: true }),
);
const never = new Promise<boolean>(() => undefined);

/** Asks four members beside the one that asks; returns who has answered when the outcome is decided. */
async function ask(answers: Readonly<Record<string, Promise<boolean>>>): Promise<readonly string[]> {
  const decided = await askUntilMajority({
    members,
    ask: ({ identity }) => answers[identity.memberId] ?? never,
    agrees: (response) => response,
    majority: () => 3,
  });
  return decided.map(({ groupMember }) => groupMember.identity.memberId);
}

describe('asking the members of a group', () => {
  it('ends with a majority that agrees, though others never answer', async () => {
    expect(await ask({ b: Promise.resolve(true), d: Promise.resolve(true) })).toEqual(['b', 'd']);
  });

  it('counts neither refusals nor failures as agreement, and ends when all have answered', async () => {
    const failed = Promise.reject(new Error('lost'));
    expect(await ask({ b: Promise.resolve(false), c: failed, d: Promise.resolve(true), e: Promise.resolve(false) })).toEqual([
      'b',
      'd',
      'e',
    ]);
  });

  it('ends at once where the one that asks is a majority alone', async () => {
    expect(await askUntilMajority({ members: [], ask: () => never, agrees: () => true, majority: () => 1 })).toEqual([]);
  });
});
