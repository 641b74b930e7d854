import type { Address } from '@pewterlanding/model';
import type { Clock, Counters, Transport } from '@pewterlanding/runtime';
import { rendezvous } from '@pewterlanding/model';
import { pause } from '@pewterlanding/runtime';
import { consensusCalls } from '../protocol/consensusCalls.js';
import type { ShardHost } from '../shard/shardHost.js';
import type { GroupMember } from '../group/groupMember.js';

interface BootstrapOptions {
  readonly shard: string;
  readonly host: ShardHost;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly seeds: readonly Address[];
  readonly waitMs: number;
  /** Whether this disk is one of the very first start. No other empty disk may found, whatever the others say. */
  readonly bootstrap?: boolean;
  /** The members that this machine's file holds; none on an empty disk. */
  readonly known: readonly GroupMember[];
}

/**
 * How the first shard comes to be, when no table can say who sits in it. Only when every seed answers that it knows no
 * members, and all are of the very first start, does the first of them found the shard. Every other empty disk waits to be added.
 */
export async function bootstrapGroup(options: BootstrapOptions): Promise<readonly GroupMember[]> {
  const { shard, host, transport, clock, counters, seeds, waitMs, bootstrap = true } = options;
  let group = options.known;
  const self = await host.identity(shard);
  transport.serve(consensusCalls.bootstrapStatus, async (body) => ({
    identity: await host.identity(body.shard),
    // A member that was added later knows of others, though this process began without any.
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
    ).flatMap((one) => one ?? []);
    const informed = statuses.find((one) => one.group.length > 0);
    if (informed !== undefined) {
      // A member with this very member id is this machine's own; any other members mean that it has to wait.
      if (!informed.group.some((groupMember) => groupMember.identity.memberId === self.memberId)) return [];
      group = informed.group;
    } else if (first === transport.here && statuses.length === seeds.length && statuses.every((one) => one.bootstrap)) {
      const order = rendezvous(
        shard,
        statuses.map((one) => one.identity.name),
      );
      group = order.flatMap((name) =>
        statuses.filter((one) => one.identity.name === name).map((one) => ({ identity: one.identity, isVoter: true })),
      );
      counters.add('consensus.bootstrapped');
      for (const seed of seeds) if (seed !== transport.here) transport.tell(seed, consensusCalls.found, { shard, group: [...group] });
    } else await pause(clock, waitMs / 4);
  }
  return group;
}
