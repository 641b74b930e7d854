import type { HostedShard, ShardEnvironment } from '@pewterlanding/consensus';
import { every } from '@pewterlanding/runtime';
import { replyAsLeader, ShardHost, ShardSet, ShardMap } from '@pewterlanding/consensus';
import type { Membership } from '@pewterlanding/membership';
import type { BatchCommand } from '../shard/batchCommand.js';
import { LongPollReads } from '../reads/longPollReads.js';
import { BatchShard } from '../shard/batchShard.js';
import type { BatchReturn } from '../batch/batchReturn.js';
import { announceGroup } from './announceGroup.js';
import { storeCalls } from '../protocol/storeCalls.js';

interface StoreOptions extends ShardEnvironment {
  readonly membership: Membership;
  readonly mintMemberId?: () => string;
}

/** Reads held at once; each is a closure and a timer. */
const maxHeld = 2048;
/** Old lots are looked for so rarely that it costs nothing. */
const tendSilences = 4;

/** A store: a member of the shards of lots that the shard table gives it. */
export class BatchStore {
  readonly #options: StoreOptions;
  readonly #host: ShardHost;
  readonly #shards: ShardSet<BatchCommand, BatchReturn, BatchShard>;
  readonly #held: LongPollReads;
  readonly #stop: () => void;
  #tended = 0;

  constructor(options: StoreOptions) {
    this.#options = options;
    const { membership, transport, clock, counters, log } = options;
    this.#held = new LongPollReads(clock, maxHeld);
    this.#host = new ShardHost({ ...options, name: membership.name, address: transport.here });
    const shards = new ShardSet<BatchCommand, BatchReturn, BatchShard>({
      prefix: 'lots-',
      name: membership.name,
      host: this.#host,
      transport,
      clock,
      counters,
      log,
      fatal: options.fatal,
      failureTimeoutMs: options.bounds.failureTimeoutMs,
      stateMachine: () => new BatchShard({ nowMs: () => clock.nowMs(), finished: (batch) => this.#held.wake(batch) }),
      told: (shard) => membership.stateTable.get(ShardMap.groupKey(shard))?.value,
      tell: (member) => announceGroup(membership, member),
    });
    this.#shards = shards;
    membership.onNodeRecord((nodeRecord, begun) => {
      if (begun) shards.meet(nodeRecord.address);
    });
    membership.onUpdate((update) => {
      if (update.key === ShardMap.key) shards.take(ShardMap.read(update.value));
    });
    transport.serve(storeCalls.change, (body) =>
      replyAsLeader(() => shards.asLeader(body.shard, ({ member }) => member.propose(body.id, body.command))),
    );
    transport.serve(storeCalls.batch, (body) =>
      replyAsLeader(() => shards.read(body.shard, (shard) => shard.batches.get(body.batch)?.view())),
    );
    transport.serve(storeCalls.results, (body) =>
      replyAsLeader(() =>
        shards.read(body.shard, (shard) => {
          const batch = shard.batches.get(body.batch);
          return batch === undefined ? undefined : { batch: batch.view(), ...batch.results(body.after, body.limit) };
        }),
      ),
    );
    transport.serve(storeCalls.queued, (body) =>
      replyAsLeader(() =>
        shards.read(body.shard, (shard) => ({ term: shard.term, ...shard.queued(body.limit, clock.wallMs()), open: shard.openLeases() })),
      ),
    );
    transport.serve(storeCalls.inputs, (body) =>
      replyAsLeader(() =>
        shards.read(body.shard, (shard) => body.places.map(({ batch, position }) => shard.batches.get(batch)?.item(position)?.input ?? '')),
      ),
    );
    transport.serve(storeCalls.begin, ({ shard, id, ref, lease }) =>
      replyAsLeader(() =>
        shards.asLeader(shard, async ({ member, stateMachine }) => {
          const response = await member.propose(id, { kind: 'start', ref, lease });
          return { response, task: response.done ? stateMachine.batches.get(ref.batch)?.task(ref.position) : undefined };
        }),
      ),
    );
    transport.serve(storeCalls.outcomes, (body) =>
      replyAsLeader(() =>
        shards.asLeader(body.shard, async ({ member, stateMachine }) => {
          if (member.isLeader && stateMachine.find(body.batch, body.host)?.waitsAt(body.after) === true)
            await this.#held.hold(body.batch, body.holdMs);
          // Only then: what was confirmed before the hold may be of the past after it.
          await member.confirmLeadership();
          return stateMachine.find(body.batch, body.host)?.outcomes(body.after, body.maxBytes);
        }),
      ),
    );
    transport.serve(storeCalls.itemBody, (body) =>
      replyAsLeader(() => shards.read(body.shard, (shard) => shard.find(body.batch, body.host)?.taskOf(body.item)?.body)),
    );
    this.#stop = every(clock, options.bounds.failureTimeoutMs * tendSilences, () => this.#tend());
    transport.serve(storeCalls.batches, (body) =>
      replyAsLeader(() => shards.read(body.shard, (shard) => [...shard.batches.values()].slice(-body.limit).map((batch) => batch.view()))),
    );
  }

  /** Ends politely: hands over what is led here, then says that this node goes. */
  async leave(): Promise<void> {
    const { membership, bounds } = this.#options;
    await this.#shards.leave(bounds.failureTimeoutMs * 2);
    membership.leave();
  }

  /** Gives up and lets go what is old, by the clock of the leader alone. */
  async #tend(): Promise<void> {
    for (const { member, stateMachine } of await this.#shards.all()) {
      if (!member.isLeader) continue;
      const { expired, kept } = stateMachine.aged();
      const commands: BatchCommand[] = [];
      if (expired.length > 0) commands.push({ kind: 'expire', batches: expired });
      if (kept.length > 0) commands.push({ kind: 'drop', batches: kept });
      for (const command of commands) {
        this.#tended += 1;
        await member.propose(`tend/${member.term}/${this.#tended}`, command).catch(() => this.#options.counters.add('store.notTended'));
      }
    }
  }

  /** The shards kept here, for status. */
  shards(): Promise<readonly HostedShard<BatchCommand, BatchReturn, BatchShard>[]> {
    return this.#shards.all();
  }

  close(): void {
    this.#stop();
    this.#shards.close();
    this.#host.close();
  }
}
