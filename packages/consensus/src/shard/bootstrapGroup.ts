import type { Address } from '@pewterlanding/model';
import type { Clock, Counters, Transport } from '@pewterlanding/runtime';
import { rendezvous } from '@pewterlanding/model';
import { pause } from '@pewterlanding/runtime';
import type { GroupMember } from '../group/index.js';
import { consensusCalls } from '../protocol/index.js';
import type { ShardHost } from './shardHost.js';

/** The pause between two rounds of asking all seeds is this part of `waitMs`. */
const pausesPerWait = 4;

interface BootstrapOptions {
  readonly shard: string;
  readonly host: ShardHost;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly seeds: readonly Address[];
  /** How long a seed may take to answer. */
  readonly waitMs: number;
  /** Whether this disk belongs to the first start of the cluster. No other empty disk may bootstrap the shard. */
  readonly bootstrap?: boolean;
  /** The group that this node's file holds; empty on an empty disk. */
  readonly known: readonly GroupMember[];
}

/**
 * Bootstraps the group of the first shard, which no shard map places yet. The first seed in rendezvous order bootstraps it, and only when
 * all seeds answer that they know no group and belong to the first start. Any other empty disk waits to be added: for it the result is
 * empty.
 */
export async function bootstrapGroup(options: BootstrapOptions): Promise<readonly GroupMember[]> {
  const { shard, host, transport, clock, counters, seeds, waitMs, bootstrap = true } = options;
  let group = options.known;
  const self = await host.identity(shard);
  transport.serve(consensusCalls.bootstrapStatus, async (body) => ({
    identity: await host.identity(body.shard),
    // A member that was added later knows a group, though this process started with none.
    group: [...(host.group(body.shard) ?? group)],
    bootstrap,
  }));
  transport.serve(consensusCalls.found, async (body) => {
    if (body.shard === shard && group.length === 0 && body.group.some((groupMember) => groupMember.identity.memberId === self.memberId))
      group = body.group;
    return {};
  });
  const first = rendezvous(shard, seeds)[0];
  while (group.length === 0 && bootstrap && seeds.includes(transport.here)) {
    const statuses = (
      await Promise.all(seeds.map((seed) => transport.ask(seed, consensusCalls.bootstrapStatus, { shard }, waitMs).catch(() => undefined)))
    ).flatMap((status) => status ?? []);
    const informed = statuses.find((status) => status.group.length > 0);
    if (informed !== undefined) {
      // A group without this member id has to add this node first.
      if (!informed.group.some((groupMember) => groupMember.identity.memberId === self.memberId)) return [];
      group = informed.group;
    } else if (first === transport.here && statuses.length === seeds.length && statuses.every((status) => status.bootstrap)) {
      const order = rendezvous(
        shard,
        statuses.map((status) => status.identity.name),
      );
      group = order.flatMap((name) =>
        statuses.filter(({ identity }) => identity.name === name).map(({ identity }) => ({ identity, isVoter: true })),
      );
      counters.add('consensus.bootstrapped');
      for (const seed of seeds) if (seed !== transport.here) transport.tell(seed, consensusCalls.found, { shard, group: [...group] });
    } else await pause(clock, waitMs / pausesPerWait);
  }
  return group;
}
