import { describe, it } from 'node:test';
import { expect } from 'earl';
import { consensusCalls } from '@pewterlanding/consensus';
import { ShardCluster } from './shardCluster.js';

describe('a member that leaves', () => {
  it('is not told that it may go before its removal is committed', async () => {
    const cluster = new ShardCluster();
    await cluster.begin();
    await cluster.put('key', 100);
    const { leader } = cluster;
    const member = cluster.memberOf(leader);
    const [leaving, staying] = cluster.followers;
    if (leaving?.transport === undefined || staying === undefined) throw new Error('nobody follows');
    // Both answer the round of the question, but have yet to sync the removal that comes right behind it.
    for (const node of [leaving, staying]) node.disk.syncMs = 400;
    const asked = leaving.transport.ask(leader.address, consensusCalls.view, { shard: ShardCluster.shard }, 300);
    asked.catch(() => undefined);
    await cluster.pass(0.5);
    const removed = member.changeGroup(member.group().filter(({ identity }) => identity.name !== leaving.name));
    removed.catch(() => undefined);
    const response = await cluster.until(asked.catch((error: unknown) => (error instanceof Error ? error.message : 'failed')));
    expect([member.groupCommitted, JSON.stringify(response).includes('a group change is under way')]).toEqual([false, true]);
    await cluster.until(removed);
    const after = await cluster.until(leaving.transport.ask(leader.address, consensusCalls.view, { shard: ShardCluster.shard }, 3000));
    expect(after.served && after.value.group.map(({ identity }) => identity.name).includes(leaving.name)).toEqual(false);
  });
});

describe('a refusal', () => {
  it('of a replaced member or a stale term is counted and changes nothing', async () => {
    const cluster = new ShardCluster();
    await cluster.begin();
    for (let at = 0; at < 3; at += 1) await cluster.put(`key-${at}`, 100);
    await cluster.pass(1000);
    const node = cluster.followers[0];
    const { leader } = cluster;
    if (node === undefined || leader.transport === undefined) throw new Error('nobody follows');
    const member = cluster.memberOf(node);
    const before = [member.term, member.committed, member.leaderAddress, member.group()];
    const call = {
      shard: ShardCluster.shard,
      memberId: member.self.memberId,
      from: leader.name,
      leader: cluster.memberOf(leader).self,
      term: member.term,
      previous: { term: 0, index: 0 },
      entries: [{ term: member.term, payload: { kind: 'open' as const } }],
      commit: 99,
    };
    const ask = (body: typeof call): Promise<unknown> => {
      const asked = leader.transport?.ask(node.address, consensusCalls.append, body, 1000) ?? Promise.reject(new Error('no wire'));
      return cluster.until(
        asked.then((response) => response.ok).catch((error: unknown) => (error instanceof Error ? error.message : 'failed')),
      );
    };
    expect(await ask({ ...call, memberId: 'a member before' })).toEqual(`TransportError: ${ShardCluster.shard}: not that member`);
    expect(await ask({ ...call, term: member.term - 1 })).toEqual(false);
    expect([node.counters.get('consensus.turnedAway'), node.counters.get('consensus.staleTerm')]).toEqual([1, 1]);
    expect([member.term, member.committed, member.leaderAddress, member.group()]).toEqual(before);
  });
});
