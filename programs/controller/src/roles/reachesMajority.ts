import type { GroupMember } from '@pewterlanding/consensus';
import { consensusCalls } from '@pewterlanding/consensus';
import type { NodeName } from '@pewterlanding/model';
import type { Transport } from '@pewterlanding/runtime';

interface MajorityProbe {
  readonly transport: Transport;
  readonly self: NodeName;
  /** The configuration shard's group as this node knows it. */
  readonly group: readonly GroupMember[];
  readonly waitMs: number;
}

/** Whether a majority of the configuration shard's voters answers this node, itself included where it is one. */
export async function reachesMajority({ transport, self, group, waitMs }: MajorityProbe): Promise<boolean> {
  const voters = group.filter((one) => one.isVoter);
  const needed = Math.floor(voters.length / 2) + 1;
  return new Promise((resolve) => {
    let answered = 0;
    let open = voters.length;
    const close = (answers: boolean): void => {
      open -= 1;
      if (answers) answered += 1;
      if (answered >= needed) resolve(true);
      else if (open === 0) resolve(false);
    };
    if (voters.length === 0) resolve(false);
    for (const { identity } of voters) {
      if (identity.name === self) close(true);
      else
        transport.ask(identity.address, consensusCalls.identify, { shard: 'setup' }, waitMs).then(
          () => close(true),
          () => close(false),
        );
    }
  });
}
