import { InFlightByReplica, updateKeys } from '@pewterlanding/agent';
import { NodeRecord, UpdateReader } from '@pewterlanding/membership';
import type { StateTable } from '@pewterlanding/membership';
import type { NodeName } from '@pewterlanding/model';

interface LoadOfOthersOptions {
  readonly front: NodeName;
  readonly stateTable: StateTable;
}

/**
 * Tasks that the other proxies report in flight, summed by replica. The sums are kept as reports change: adding them up at every
 * feed would cost proxies x replicas.
 */
export class LoadOfOthers {
  readonly #options: LoadOfOthersOptions;
  readonly #report = UpdateReader.of(InFlightByReplica);
  readonly #nodeRecord = UpdateReader.of(NodeRecord);
  readonly #sums = new Map<string, number>();
  /** The report of each other proxy that is alive, as it is counted in the sums. */
  readonly #reports = new Map<string, InFlightByReplica>();

  constructor(options: LoadOfOthersOptions) {
    this.#options = options;
  }

  /** Other proxies that are alive and have reported. */
  get proxies(): number {
    return this.#reports.size;
  }

  /** Tasks of other proxies in flight at a replica. */
  at(address: string): number {
    return this.#sums.get(address) ?? 0;
  }

  /** Counts a proxy's report anew after it, or the proxy's node record, has changed. */
  recount(front: string): void {
    if (front === this.#options.front) return;
    this.#uncount(front);
    const { stateTable } = this.#options;
    const report = this.#report.read(stateTable.get(updateKeys.use(front)));
    const state = this.#nodeRecord.read(stateTable.get(updateKeys.node(front)))?.state ?? 'here';
    if (report === undefined || state !== 'here') return;
    for (const [address, inFlight] of Object.entries(report)) this.#add(address, inFlight);
    this.#reports.set(front, report);
  }

  #uncount(front: string): void {
    for (const [address, inFlight] of Object.entries(this.#reports.get(front) ?? {})) this.#add(address, -inFlight);
    this.#reports.delete(front);
  }

  #add(address: string, inFlight: number): void {
    const sum = this.at(address) + inFlight;
    if (sum > 0) this.#sums.set(address, sum);
    else this.#sums.delete(address);
  }
}
