import { createHash } from 'node:crypto';
import { describe, it } from 'node:test';
import { Encoder } from 'cbor-x';
import { expect } from 'earl';
import type { Member } from '@pewterlanding/consensus';
import { ShardCluster } from './shardCluster.js';
import type { ValueMap } from './valueMap.js';

const compactBytes = 64 << 10;
const valueBytes = 2000;

/** Puts values until the leader has compacted so many times more; tells how many puts that took. */
async function compacted(cluster: ShardCluster, times: number): Promise<number> {
  const { counters } = cluster.leader;
  const goal = counters.get('consensus.rewritten') + times;
  let turns = 0;
  for (; counters.get('consensus.rewritten') < goal; turns += 1) await cluster.put(`key-${turn(turns)}`, valueBytes);
  return turns;
}

const turn = (at: number): number => at % 5;

const bytesOf = ({ values }: ValueMap): Uint8Array =>
  Buffer.concat(
    Object.entries(values)
      .sort(([one], [other]) => (one < other ? -1 : 1))
      .map(([, value]) => value),
  );

const same = (cluster: ShardCluster): boolean => {
  const newest = bytesOf(cluster.leader.stateMachine);
  return cluster.nodes.every(({ stateMachine }) => Buffer.compare(bytesOf(stateMachine), newest) === 0);
};

const sum = (cluster: ShardCluster, counter: string): number => cluster.nodes.reduce((all, { counters }) => all + counters.get(counter), 0);

const logOf = (member: Member<unknown, unknown>): unknown => [member.committed, member.term, member.view().group];

describe('a log tail behind a snapshot', () => {
  for (const restartLeader of [false, true])
    it(`serves a follower that missed a compaction by entries${restartLeader ? ', also from disks that began anew' : ''}`, async () => {
      const cluster = new ShardCluster({ compactBytes });
      await cluster.begin();
      await compacted(cluster, 1);
      const usual = await compacted(cluster, 1);
      for (let turns = 0; turns < usual - 4; turns += 1) await cluster.put(`key-${turn(turns)}`, valueBytes);
      const away = cluster.nodes.indexOf(cluster.followers[1] ?? cluster.leader);
      cluster.kill(away);
      await compacted(cluster, 1);
      if (restartLeader) {
        const others = [0, 1, 2].filter((position) => position !== away);
        for (const position of others) cluster.kill(position);
        for (const position of others) await cluster.start(position);
        await cluster.pass(3000);
      }
      await cluster.start(away);
      await cluster.untilTrue(() => same(cluster), 10_000);
      expect([sum(cluster, 'consensus.snapshotSent'), sum(cluster, 'consensus.snapshotTaken')]).toEqual([0, 0]);
    });

  it('is bounded, so that one who was away for long takes a snapshot and the entries after it', async () => {
    const cluster = new ShardCluster({ compactBytes });
    await cluster.begin();
    const away = cluster.nodes.indexOf(cluster.followers[1] ?? cluster.leader);
    cluster.kill(away);
    await compacted(cluster, 3);
    await cluster.start(away);
    await cluster.untilTrue(() => same(cluster), 10_000);
    expect(sum(cluster, 'consensus.snapshotTaken')).toEqual(1);
  });
});

describe('a snapshot on its way', () => {
  it('stays the same over compactions, goes on where a chunk was lost, and is encoded once for two', async () => {
    const cluster = new ShardCluster({ compactBytes: 8 << 20, members: 5 });
    await cluster.begin();
    const [first, second] = cluster.followers.slice(-2).map((node) => cluster.nodes.indexOf(node));
    if (first === undefined || second === undefined) throw new Error('too few');
    cluster.kill(first);
    cluster.kill(second);
    // Six chunks, and more log than the tail holds.
    for (let at = 0; at < 14; at += 1) await cluster.put(`large-${at % 6}`, 1 << 20);
    const { leader } = cluster;
    await Promise.all([cluster.start(first), cluster.start(second)]);
    await cluster.untilTrue(() => cluster.leader.counters.get('consensus.snapshotEncoded') > 0);
    const before = leader.counters.get('consensus.rewritten');
    // A chunk is lost, and the log is compacted before the way is open again.
    cluster.net.cut(leader.machine.name, cluster.node(first).machine.name);
    for (let at = 0; leader.counters.get('consensus.rewritten') === before; at += 1) await cluster.put(`large-${at % 6}`, 1 << 20);
    cluster.net.heal();
    await cluster.untilTrue(() => same(cluster), 30_000);
    expect([leader === cluster.leader, leader.counters.get('consensus.snapshotEncoded'), sum(cluster, 'consensus.snapshotTaken')]).toEqual([
      true,
      1,
      2,
    ]);
  });

  it('is refused and counted where it does not decode or its checksum differs, and the log stays whole', async () => {
    const cluster = new ShardCluster({ compactBytes });
    await cluster.begin();
    for (let at = 0; at < 5; at += 1) await cluster.put(`key-${at}`, 100);
    await cluster.pass(1000);
    const node = cluster.followers[0];
    if (node === undefined) throw new Error('nobody follows');
    const member = cluster.memberOf(node);
    const leader = cluster.memberOf(cluster.leader);
    const before = logOf(member);
    const index = member.committed + 100;
    const encode = (value: unknown): Uint8Array<ArrayBuffer> => Uint8Array.from(new Encoder({ useRecords: false }).encode(value));
    const send = (bytes: Uint8Array<ArrayBuffer>, checksum?: string): Promise<unknown> =>
      cluster.until(
        member.installSnapshot({
          shard: ShardCluster.shard,
          memberId: member.self.memberId,
          from: leader.self.name,
          term: member.term,
          leader: leader.self,
          index,
          snapshotTerm: member.term,
          lengthBytes: bytes.length,
          checksum: checksum ?? createHash('sha256').update(bytes).digest('hex'),
          offset: 0,
          bytes,
        }),
      );
    const whole = { index, term: member.term, group: [...member.group()], stateMachine: {}, deduplication: [] };
    const refused = { outcome: 'refused', term: member.term, held: 0 };
    expect(await send(encode(whole), 'another')).toEqual(refused);
    expect(await send(encode(whole).slice(0, -3))).toEqual(refused);
    expect(await send(encode({ ...whole, index: index + 1 }))).toEqual(refused);
    expect(await send(encode({ ...whole, stateMachine: { key: 'no bytes' } }))).toEqual(refused);
    expect(node.counters.get('consensus.snapshotRefused')).toEqual(4);
    expect(logOf(member)).toEqual(before);
    expect(Object.keys(node.stateMachine.values).length).toEqual(5);
    await cluster.put('later', 100);
    await cluster.untilTrue(() => same(cluster), 5000);
    expect(sum(cluster, 'consensus.snapshotTaken')).toEqual(0);
  });

  it('that comes late takes no entry away that a leader counts on', async () => {
    const cluster = new ShardCluster({ compactBytes });
    await cluster.begin();
    for (let at = 0; at < 5; at += 1) await cluster.put(`key-${at}`, 100);
    const position = cluster.nodes.indexOf(cluster.followers[0] ?? cluster.leader);
    const leader = cluster.memberOf(cluster.leader);
    // A restarted member doesn't know yet what of its log is committed.
    cluster.kill(position);
    for (const node of cluster.nodes) cluster.net.cut(node.machine.name, cluster.node(position).machine.name);
    await cluster.start(position);
    const member = cluster.memberOf(cluster.node(position));
    const { term } = member;
    const index = 2;
    expect(member.committed < index).toEqual(true);
    const bytes = Uint8Array.from(
      new Encoder({ useRecords: false }).encode({
        index,
        term,
        group: [...member.group()],
        stateMachine: {},
        deduplication: [],
      }),
    );
    const checksum = createHash('sha256').update(bytes).digest('hex');
    const reply = await cluster.until(
      member.installSnapshot({
        shard: ShardCluster.shard,
        memberId: member.self.memberId,
        from: leader.self.name,
        term,
        leader: leader.self,
        index,
        snapshotTerm: term,
        lengthBytes: bytes.length,
        checksum,
        offset: 0,
        bytes,
      }),
    );
    expect([reply.outcome, member.committed]).toEqual(['taken', index]);
    const vote = await cluster.until(
      member.vote({ shard: ShardCluster.shard, memberId: member.self.memberId, from: leader.self.name, term: term + 1 }),
    );
    expect(vote.last.index).toEqual(leader.committed);
  });
});
