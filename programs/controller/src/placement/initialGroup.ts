import { consensusCalls } from '@pewterlanding/consensus';
import type { GroupMember } from '@pewterlanding/consensus';
import type { Address } from '@pewterlanding/model';
import type { Transport } from '@pewterlanding/runtime';

/**
 * The first group of a shard that has none: every machine that shall hold a copy, each a voter.
 * Undefined while one of them does not answer within `waitMs`, since a group must not begin without its full set of voters.
 */
export async function initialGroup(
  transport: Transport,
  shard: string,
  addresses: readonly Address[],
  waitMs: number,
): Promise<GroupMember[] | undefined> {
  const answers = await Promise.all(
    addresses.map((address) => transport.ask(address, consensusCalls.identify, { shard }, waitMs).catch(() => undefined)),
  );
  const identities = answers.filter((identity) => identity !== undefined);
  if (identities.length < addresses.length) return undefined;
  return identities.map((identity) => ({ identity, isVoter: true }));
}
