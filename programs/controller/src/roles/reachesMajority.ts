import type { GroupMember } from '@pewterlanding/consensus';
import { consensusCalls } from '@pewterlanding/consensus';
import type { NodeName } from '@pewterlanding/model';
import type { Transport } from '@pewterlanding/runtime';
import { configurationShardName } from '../placement/index.js';

interface MajorityProbe {
  readonly transport: Transport;
  readonly self: NodeName;
  /** The configuration shard's group as this node knows it. */
  readonly group: readonly GroupMember[];
  readonly waitMs: number;
}

/**
 * Whether a majority of the configuration shard's voters answers this node within `waitMs`, itself included where it is one.
 * Resolves with the answer that makes a majority, or with the last one.
 */
export async function reachesMajority({ transport, self, group, waitMs }: MajorityProbe): Promise<boolean> {
  const voters = group.filter((member) => member.isVoter);
  const majority = Math.floor(voters.length / 2) + 1;
  return new Promise((resolve) => {
    let answered = 0;
    let pending = voters.length;
    const count = (hasAnswered: boolean): void => {
      pending -= 1;
      if (hasAnswered) answered += 1;
      if (answered >= majority) resolve(true);
      else if (pending === 0) resolve(false);
    };
    if (voters.length === 0) resolve(false);
    for (const { identity } of voters) {
      if (identity.name === self) count(true);
      else
        transport.ask(identity.address, consensusCalls.identify, { shard: configurationShardName }, waitMs).then(
          () => count(true),
          () => count(false),
        );
    }
  });
}
