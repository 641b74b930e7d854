import { allowsReplica, updateKeys } from '@pewterlanding/agent';
import type { Replica } from '@pewterlanding/agent';
import type { StateTable, UpdateReader } from '@pewterlanding/membership';
import type { Configuration } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import { replicaKey } from '../routing/replicaKey.js';
import type { ReplicaRow } from '../routing/replicaRow.js';
import type { LoadOfOthers } from './loadOfOthers.js';

interface AnnouncedReplicasOptions {
  readonly clock: Clock;
  readonly stateTable: StateTable;
  readonly loadOfOthers: LoadOfOthers;
  /** Shared with other readers of announcements, so that each is parsed once. */
  readonly replicaReader: UpdateReader<Replica>;
}

/** Part of the failure timeout: a replica without an announcement for so long is chosen only where no other has capacity. */
const lateRatio = 0.4;

/** The replicas that have announced themselves, and how long ago each was heard. */
export class AnnouncedReplicas {
  readonly #options: AnnouncedReplicasOptions;
  /** When each announcement arrived, by its key and the monotonic clock. */
  readonly #heardAtMs = new Map<string, number>();
  #silent: ReadonlySet<string> = new Set();

  constructor(options: AnnouncedReplicasOptions) {
    this.#options = options;
  }

  /** Instances that controllers report silent, by replica key. */
  get silent(): ReadonlySet<string> {
    return this.#silent;
  }

  /** Notes that an announcement arrived. */
  noteHeard(key: string): void {
    this.#heardAtMs.set(key, this.#options.clock.nowMs());
  }

  /** Whether a replica is silent without having announced its end. One that is leaving still finishes its tasks. */
  isGone(key: string, failureTimeoutMs: number): boolean {
    const { stateTable, replicaReader } = this.#options;
    if (replicaReader.read(stateTable.get(key))?.state !== 'serving') return false;
    return this.#unheardMs(key) > failureTimeoutMs;
  }

  /** The replicas that may get tasks, by service; also determines which are silent. */
  serving(configuration: Configuration): ReadonlyMap<string, readonly ReplicaRow[]> {
    const { stateTable, replicaReader } = this.#options;
    const rows = new Map<string, ReplicaRow[]>();
    const silent = new Set<string>();
    for (const update of stateTable.withPrefix(updateKeys.replicas)) {
      const replica = replicaReader.read(update);
      if (replica?.state === 'silent') silent.add(replicaKey(replica));
      if (replica?.state !== 'serving') continue;
      const row = this.#row(replica, update.key, configuration);
      if (row === undefined) continue;
      const rowsOfService = rows.get(replica.service) ?? [];
      rows.set(replica.service, rowsOfService);
      rowsOfService.push(row);
    }
    this.#silent = silent;
    return rows;
  }

  /** The same rows with the present load of the other proxies. */
  withPresentLoad(rowsByService: ReadonlyMap<string, readonly ReplicaRow[]>): ReadonlyMap<string, readonly ReplicaRow[]> {
    const { loadOfOthers } = this.#options;
    const present = new Map<string, readonly ReplicaRow[]>();
    for (const [service, rows] of rowsByService) {
      const loaded = rows.map((row) => {
        const others = loadOfOthers.at(row.replica.address);
        return others === row.others ? row : { ...row, others };
      });
      present.set(service, loaded);
    }
    return present;
  }

  /** Undefined when the replica gets no tasks: it must be both announced and allowed by the configuration. */
  #row(replica: Replica, key: string, configuration: Configuration): ReplicaRow | undefined {
    const rule = configuration.services[replica.service];
    if (rule === undefined || !allowsReplica(rule, replica)) return undefined;
    // Replicas with an instance report to the controllers, which announce those that are silent: nothing is repeated here.
    const unheardMs = replica.instance === undefined ? this.#unheardMs(key) : 0;
    const failureTimeoutMs = configuration.bounds.replicaFailureTimeoutMs;
    if (unheardMs > failureTimeoutMs) return undefined;
    return { replica, others: this.#options.loadOfOthers.at(replica.address), late: unheardMs > failureTimeoutMs * lateRatio };
  }

  #unheardMs(key: string): number {
    const nowMs = this.#options.clock.nowMs();
    return nowMs - (this.#heardAtMs.get(key) ?? nowMs);
  }
}
