import type { HostedShard, ShardEnvironment } from '@pewterlanding/consensus';
import { every } from '@pewterlanding/runtime';
import { ShardHost, ShardSet, ShardMap } from '@pewterlanding/consensus';
import type { Membership } from '@pewterlanding/membership';
import type { BatchCommand } from '../shard/index.js';
import { LongPollReads } from '../reads/index.js';
import { BatchShard } from '../shard/index.js';
import type { BatchReturn } from '../batch/index.js';
import { announceGroup } from './announceGroup.js';
import { serveStoreCalls } from './serveStoreCalls.js';

interface StoreOptions extends ShardEnvironment {
  readonly membership: Membership;
  readonly mintMemberId?: () => string;
}

/** Long polls that wait at once; each costs a closure and a timer. */
const maxLongPolls = 2048;
/** Old batches are looked for once in so many failure timeouts. */
const cleanupPeriodTimeouts = 4;

/** A store node: a Raft member of the batch shards that the shard map assigns to it. */
export class BatchStore {
  readonly #options: StoreOptions;
  readonly #host: ShardHost;
  readonly #shards: ShardSet<BatchCommand, BatchReturn, BatchShard>;
  readonly #longPolls: LongPollReads;
  readonly #stop: () => void;
  #cleanups = 0;

  constructor(options: StoreOptions) {
    this.#options = options;
    const { membership, transport, clock, counters, log } = options;
    this.#longPolls = new LongPollReads(clock, maxLongPolls);
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
      stateMachine: () => new BatchShard({ nowMs: () => clock.nowMs(), finished: (batch) => this.#longPolls.wake(batch) }),
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
    serveStoreCalls({ transport, clock, shards, longPolls: this.#longPolls });
    this.#stop = every(clock, options.bounds.failureTimeoutMs * cleanupPeriodTimeouts, () => this.#cleanUp());
  }

  /** Transfers leadership of the shards that are led here, then announces that this node leaves. */
  async leave(): Promise<void> {
    const { membership, bounds } = this.#options;
    await this.#shards.leave(bounds.failureTimeoutMs * 2);
    membership.leave();
  }

  /** Expires and drops old batches of the shards that are led here. The leader's clock decides, so that members apply alike. */
  async #cleanUp(): Promise<void> {
    for (const { member, stateMachine } of await this.#shards.all()) {
      if (!member.isLeader) continue;
      const { expired, droppable } = stateMachine.aged();
      const commands: BatchCommand[] = [];
      if (expired.length > 0) commands.push({ kind: 'expire', batches: expired });
      if (droppable.length > 0) commands.push({ kind: 'drop', batches: droppable });
      for (const command of commands) {
        this.#cleanups += 1;
        await member.propose(`tend/${member.term}/${this.#cleanups}`, command).catch(() => this.#options.counters.add('store.notTended'));
      }
    }
  }

  /** The shards that this node hosts, for its status page. */
  shards(): Promise<readonly HostedShard<BatchCommand, BatchReturn, BatchShard>[]> {
    return this.#shards.all();
  }

  close(): void {
    this.#stop();
    this.#shards.close();
    this.#host.close();
  }
}
