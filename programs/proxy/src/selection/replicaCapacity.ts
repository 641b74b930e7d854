import type { Service } from '@pewterlanding/model';
import { replicaKey } from '../routing/replicaKey.js';
import type { ReplicaRow } from '../routing/replicaRow.js';
import type { Tables } from '../routing/tables.js';
import type { SelectionRequest } from './selectionRequest.js';
import type { SlotAccounting } from './slotAccounting.js';
import type { TokenLoads } from './tokenLoads.js';

interface ReplicaCapacityOptions {
  readonly tables: () => Tables;
  readonly slots: SlotAccounting;
  readonly tokens: TokenLoads;
}

/** Replicas queue requests themselves; beyond this multiple of its slots a request waits here, where any replica may take it. */
const maxReplicaBacklog = 2;
/** Part of the memory that is planned: requests that do not fit are preempted by the replica and prefilled again. */
const memoryRatio = 0.9;

/** Whether a replica can take one more request, as far as this proxy knows. */
export class ReplicaCapacity {
  readonly #options: ReplicaCapacityOptions;

  constructor(options: ReplicaCapacityOptions) {
    this.#options = options;
  }

  /** The connections that a replica accepts are divided among the proxies, at least two each. */
  hasConnection(row: ReplicaRow, rule: Service | undefined): boolean {
    const { running } = this.#options.tokens.at(replicaKey(row.replica));
    if (rule?.connections === undefined) return true;
    return running < Math.max(2, Math.floor(rule.connections / this.#options.tables().fronts));
  }

  /** Whether a replica has a slot and memory for the request. */
  has(row: ReplicaRow, request: SelectionRequest, rule: Service | undefined): boolean {
    const hasSlot =
      request.kind === 'batch' ? this.#hasBatchSlot(row, request) : this.#options.slots.inUse(row) < row.replica.slots * maxReplicaBacklog;
    return hasSlot && this.#hasMemory(row, request, rule);
  }

  /** Batch items leave the live reserve free, but one item per service may run in it so that batches make progress under any load. */
  #hasBatchSlot(row: ReplicaRow, request: SelectionRequest): boolean {
    const { configuration, fronts } = this.#options.tables();
    const { slots } = row.replica;
    const reserve = configuration?.bounds.liveReserve ?? 0;
    const limit = this.#options.slots.hasBatchItems(request.service) ? Math.max(1, Math.floor(slots * (1 - reserve))) : slots;
    return this.#options.slots.inUse(row) < limit && this.#options.slots.isWithinShare(row, limit, fronts);
  }

  /** An idle replica takes a request of any size. Other proxies' requests are assumed to be as large as this proxy's on average. */
  #hasMemory(row: ReplicaRow, request: SelectionRequest, rule: Service | undefined): boolean {
    const { running, tokens } = this.#options.tokens.at(replicaKey(row.replica));
    if (rule?.engine === undefined || running === 0) return true;
    const planned = tokens * (1 + row.others / running) + request.promptTokens + request.outputTokens;
    return planned < rule.engine.memoryTokens * memoryRatio;
  }
}
