import { describe, it } from 'node:test';
import { expect } from 'earl';
import { every } from '@pewterlanding/runtime';
import { SimClock } from '../src/index.js';
import { ShardCluster } from './shardCluster.js';

/** What the operators allow until a shard must bear the next loss. */
const catchUpMs = 5000;
const mebibyte = 1 << 20;

const whose = (leads: boolean): string => (leads ? "the leader's own" : 'its own');

const isWhole = (cluster: ShardCluster, gone: string): boolean => {
  const group = cluster.nodes.find(({ member, instance }) => !instance.dead && member?.isLeader === true)?.member?.group() ?? [];
  return group.length === 3 && group.every(({ isVoter, identity }) => isVoter && identity.memberId !== gone);
};

/** How long it takes from the return of a voter that lost its disk until the shard has a full set of voters again. */
async function repairMs(stateBytes: number, syncMs: number, slowMs: number, leads: boolean): Promise<number> {
  const cluster = new ShardCluster({ reconciled: true, compactBytes: 16 * mebibyte });
  await cluster.begin();
  const pieces = Math.max(1, stateBytes / mebibyte);
  for (let at = 0; at < pieces; at += 1) await cluster.put(`key-${at}`, Math.min(stateBytes, mebibyte));
  for (const { disk } of cluster.nodes) disk.syncMs = syncMs;
  const lost = leads ? cluster.leader : cluster.followers[1];
  if (lost === undefined) throw new Error('nobody follows');
  const position = cluster.nodes.indexOf(lost);
  const gone = cluster.memberOf(lost).self.memberId;
  cluster.kill(position);
  await cluster.pass(1500);
  lost.disk.lose();
  lost.disk.syncMs = slowMs;
  await cluster.start(position);
  return cluster.untilTrue(() => isWhole(cluster, gone), 60_000);
}

/** How long a machine that comes in the place of a lost one takes to count, while values are written all the time. */
async function replacementMs(syncMs: number, slowMs: number, putEveryMs: number): Promise<number> {
  const cluster = new ShardCluster({ reconciled: true, spares: 1, compactBytes: 16 * mebibyte });
  await cluster.begin();
  await cluster.put('key', mebibyte);
  for (const { disk } of cluster.nodes) disk.syncMs = syncMs;
  const lost = cluster.followers.find((node) => node.member?.group().length === 3 && cluster.wanted.has(cluster.nodes.indexOf(node)));
  if (lost === undefined) throw new Error('nobody follows');
  const gone = cluster.memberOf(lost).self.memberId;
  const position = cluster.nodes.indexOf(lost);
  cluster.kill(position);
  await cluster.pass(1500);
  cluster.node(3).disk.syncMs = slowMs;
  cluster.wanted.delete(position);
  cluster.wanted.add(3);
  const putting = every(new SimClock(cluster.time, cluster.leader.machine, cluster.leader.instance), putEveryMs, () => {
    void cluster
      .memberOf(cluster.leader)
      .propose(`at-${cluster.time.nowMs}`, { key: 'busy', value: new Uint8Array(100) })
      .catch(() => undefined);
  });
  const tookMs = await cluster.untilTrue(() => isWhole(cluster, gone), 30_000).catch(() => Number.POSITIVE_INFINITY);
  putting();
  return tookMs;
}

describe('a machine in the place of a lost voter', () => {
  for (const slowMs of [5, 12, 360])
    it(`counts in time under a steady load, with a disk of ${slowMs} ms`, async (test) => {
      const tookMs = await replacementMs(12, slowMs, 25);
      test.diagnostic(`replacement ${slowMs} ${tookMs} ms`);
      expect(tookMs < catchUpMs).toEqual(true);
    });
});

describe('a voter that lost its disk', () => {
  for (const stateBytes of [1024, mebibyte, 20 * mebibyte])
    for (const [syncMs, slowMs] of [
      [5, 5],
      [12, 12],
      [12, 360],
    ] as const)
      for (const leads of [false, true])
        it(`counts again in time: ${stateBytes} bytes, disks of ${syncMs} ms, ${whose(leads)} ${slowMs} ms`, async (test) => {
          const tookMs = await repairMs(stateBytes, syncMs, slowMs, leads);
          test.diagnostic(`repair ${stateBytes} ${syncMs} ${slowMs} ${leads} ${tookMs} ms`);
          expect(tookMs < catchUpMs).toEqual(true);
        });
});
