import { replyAsLeader } from '@pewterlanding/consensus';
import type { ShardSet } from '@pewterlanding/consensus';
import type { Clock, Transport } from '@pewterlanding/runtime';
import type { BatchReturn } from '../batch/index.js';
import { storeCalls } from '../protocol/index.js';
import type { LongPollReads } from '../reads/index.js';
import type { BatchCommand, BatchShard } from '../shard/index.js';

interface ServeOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  readonly shards: ShardSet<BatchCommand, BatchReturn, BatchShard>;
  readonly longPolls: LongPollReads;
}

/** Answers `storeCalls` from the shards that this member leads; callers of other shards are referred to the leader. */
export function serveStoreCalls(options: ServeOptions): void {
  serveChanges(options);
  serveBatchReads(options);
  serveDispatcherReads(options);
  serveOpaqueReads(options);
}

function serveChanges({ transport, shards }: ServeOptions): void {
  transport.serve(storeCalls.change, ({ shard, id, command }) =>
    replyAsLeader(() => shards.asLeader(shard, ({ member }) => member.propose(id, command))),
  );
  transport.serve(storeCalls.begin, ({ shard, id, ref, lease }) =>
    replyAsLeader(() =>
      shards.asLeader(shard, async ({ member, stateMachine }) => {
        const response = await member.propose(id, { kind: 'start', ref, lease });
        return { response, task: response.done ? stateMachine.batches.get(ref.batch)?.task(ref.position) : undefined };
      }),
    ),
  );
}

function serveBatchReads({ transport, shards }: ServeOptions): void {
  transport.serve(storeCalls.batch, ({ shard, batch }) =>
    replyAsLeader(() => shards.read(shard, ({ batches }) => batches.get(batch)?.view())),
  );
  transport.serve(storeCalls.results, ({ shard, batch: id, after, limit }) =>
    replyAsLeader(() =>
      shards.read(shard, ({ batches }) => {
        const batch = batches.get(id);
        return batch === undefined ? undefined : { batch: batch.view(), ...batch.results(after, limit) };
      }),
    ),
  );
  transport.serve(storeCalls.batches, ({ shard, limit }) =>
    replyAsLeader(() => shards.read(shard, ({ batches }) => [...batches.values()].slice(-limit).map((batch) => batch.view()))),
  );
}

function serveDispatcherReads({ transport, shards, clock }: ServeOptions): void {
  transport.serve(storeCalls.queued, (body) =>
    replyAsLeader(() =>
      shards.read(body.shard, (shard) => ({ term: shard.term, ...shard.queued(body.limit, clock.wallMs()), open: shard.openLeases() })),
    ),
  );
  transport.serve(storeCalls.inputs, ({ shard, places }) =>
    replyAsLeader(() =>
      shards.read(shard, ({ batches }) => places.map(({ batch, position }) => batches.get(batch)?.item(position)?.input ?? '')),
    ),
  );
}

function serveOpaqueReads({ transport, shards, longPolls }: ServeOptions): void {
  transport.serve(storeCalls.outcomes, ({ shard, batch, host, after, maxBytes, holdMs }) =>
    replyAsLeader(() =>
      shards.asLeader(shard, async ({ member, stateMachine }) => {
        if (member.isLeader && stateMachine.find(batch, host)?.waitsAt(after) === true) await longPolls.hold(batch, holdMs);
        // Only after the wait: leadership that was confirmed before it may be over by now.
        await member.confirmLeadership();
        return stateMachine.find(batch, host)?.outcomes(after, maxBytes);
      }),
    ),
  );
  transport.serve(storeCalls.itemBody, ({ shard: name, batch, host, item }) =>
    replyAsLeader(() => shards.read(name, (shard) => shard.find(batch, host)?.taskOf(item)?.body)),
  );
}
