import { consensusCalls } from '@pewterlanding/consensus';
import type { ShardMap, ShardView } from '@pewterlanding/consensus';
import type { NodeRecord } from '@pewterlanding/membership';
import type { QuotaView } from '@pewterlanding/rate-limit';
import type { BatchView } from '@pewterlanding/store';
import { storeCalls } from '@pewterlanding/store';
import { controllerCalls } from '../controllerCalls.js';
import { configurationShardName } from '../configuration/configurationShardName.js';
import type { OperatorHttpOptions } from './operatorHttpOptions.js';

interface NodeView extends NodeRecord {
  /** The version of the configuration that a front holds. */
  readonly version: number | undefined;
}

interface ShardState {
  readonly shard: string;
  readonly wanted: ShardMap['shards'][string]['wanted'] | undefined;
  /** What the leader says; undefined where none answered. */
  readonly view: ShardView | undefined;
}

interface Quotas {
  readonly term: number;
  readonly quotas: readonly QuotaView[];
  readonly waiting: Readonly<Record<string, number>>;
}

/** Names of batch shards begin with the word of the first version, since disks hold them. */
const batchShardPrefix = 'lots-';
const maxBatchesPerShard = 100;
/** One read asks many machines: each may take this fraction of the operator's wait. */
const askRatio = 1 / 4;
const readyRatio = 1 / 10;

/** Reads the state of the fleet for operators, from this machine's tables and from the leaders. */
export class FleetViews {
  readonly #options: OperatorHttpOptions;

  constructor(options: OperatorHttpOptions) {
    this.#options = options;
  }

  /** Every machine that membership knows; versions are left out while the configuration shard has no leader. */
  async nodes(): Promise<readonly NodeView[]> {
    const { controller, membership, waitMs } = this.#options;
    const fronts = await controller.finder.ask(configurationShardName, controllerCalls.fronts, {}, waitMs).catch(() => []);
    const versions = new Map(fronts.map(({ front, version }) => [front, version]));
    return membership.nodeRecords().map((nodeRecord) => ({ ...nodeRecord, version: versions.get(nodeRecord.name) }));
  }

  async shards(): Promise<readonly ShardState[]> {
    const shards = [configurationShardName, ...Object.keys(this.#options.controller.table.shards).sort()];
    return Promise.all(shards.map((shard) => this.#shard(shard)));
  }

  /** The rate limits as the holder of the dispatcher's role keeps them; undefined where it does not answer. */
  async quotas(): Promise<Quotas | undefined> {
    const { controller, transport } = this.#options;
    const singletonRole = controller.singletonRole();
    if (singletonRole === undefined) return undefined;
    return transport.ask(singletonRole.address, controllerCalls.quotas, {}, this.#askMs).catch(() => undefined);
  }

  /** The newest batches of each shard, newest first; a shard without a leader contributes none. */
  async batches(): Promise<readonly BatchView[]> {
    const { controller } = this.#options;
    const shards = Object.keys(controller.table.shards).filter((shard) => shard.startsWith(batchShardPrefix));
    const batches = await Promise.all(
      shards.map((shard) =>
        controller.finder.ask(shard, storeCalls.batches, { shard, limit: maxBatchesPerShard }, this.#askMs).catch(() => []),
      ),
    );
    return batches.flat().sort((a, b) => b.createdMs - a.createdMs);
  }

  /** Whether a leader of the configuration shard answers. */
  async ready(): Promise<boolean> {
    const { controller, waitMs } = this.#options;
    try {
      // Any call that only the leader answers would do; this one has a small answer, where the configuration may be large.
      await controller.finder.ask(configurationShardName, controllerCalls.fronts, {}, waitMs * readyRatio);
      return true;
    } catch {
      return false;
    }
  }

  get #askMs(): number {
    return this.#options.waitMs * askRatio;
  }

  async #shard(shard: string): Promise<ShardState> {
    const { controller } = this.#options;
    const view = await controller.finder.ask(shard, consensusCalls.view, { shard }, this.#askMs).catch(() => undefined);
    return { shard, wanted: controller.table.shards[shard]?.wanted, view };
  }
}
