import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Transport } from '@pewterlanding/runtime';
import type { MembershipBounds } from '../protocol/index.js';
import { membershipCalls } from '../protocol/index.js';
import type { NodeRecord, StateTable, Update } from '../state-table/index.js';

interface AntiEntropyOptions {
  readonly self: NodeName;
  /** A later configuration changes this list in place. */
  readonly seeds: readonly Address[];
  readonly stateTable: StateTable;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: MembershipBounds;
  readonly counters: Counters;
  /** Records of nodes that were found to have failed. */
  readonly gone: () => readonly NodeRecord[];
  /** Merges what another table held newer; `isFirst` in the first comparison that found any difference. */
  readonly merge: (newer: readonly Update[], isFirst: boolean) => void;
}

/**
 * Compares this node's state table with others', so that updates that the relay tree lost still reach every node. Digests of buckets
 * are exchanged first, versions only for the buckets that differ.
 */
export class AntiEntropy {
  readonly #options: AntiEntropyOptions;
  readonly #extraAddresses: Address[] = [];
  readonly #inProgress = new Set<Address>();
  #lastChecksumComparisonMs = Number.NEGATIVE_INFINITY;
  #hasMerged = false;
  #round = 0;

  constructor(options: AntiEntropyOptions) {
    this.#options = options;
    const { transport, stateTable } = options;
    transport.serve(membershipCalls.digest, async ({ digest }) => ({ differing: [...stateTable.differing(digest)] }));
    transport.serve(membershipCalls.compare, async (body) => {
      const { newer, wanted } = stateTable.compare(body.buckets, body.versions);
      return { newer: [...newer], wanted: [...wanted] };
    });
  }

  /** Adds addresses to compare with besides the seeds, which may all have been replaced. */
  addAddresses(addresses: readonly Address[]): void {
    for (const address of addresses)
      if (!this.#extraAddresses.includes(address) && !this.#options.seeds.includes(address)) this.#extraAddresses.push(address);
  }

  /**
   * Compares where another table's checksum differs, at most once in a failure timeout: while updates keep coming, tables differ at
   * every heartbeat, and what differs is mostly on its way.
   */
  async receiveChecksum(checksum: number, address: Address): Promise<void> {
    const { clock, stateTable, bounds } = this.#options;
    const nowMs = clock.nowMs();
    if (checksum === stateTable.checksum || nowMs - this.#lastChecksumComparisonMs < bounds.failureTimeoutMs) return;
    this.#lastChecksumComparisonMs = nowMs;
    await this.compareWith(address);
  }

  /** Compares with one seed and with one node that was found to have failed: so the two sides of a healed partition merge again. */
  async runRound(): Promise<void> {
    this.#round += 1;
    const { transport } = this.#options;
    const addresses = [...this.#options.seeds, ...this.#extraAddresses];
    const gone = this.#options.gone();
    const joinAddress = addresses[this.#round % addresses.length];
    const failed = gone[this.#round % Math.max(1, gone.length)];
    const targets = [joinAddress, failed?.address].flatMap((address) =>
      address === undefined || address === transport.here ? [] : [address],
    );
    await Promise.all(targets.map((address) => this.compareWith(address)));
  }

  /** Compares with every known address where no comparison is in progress; for a node that knows no other. */
  compareWithAllAddresses(): void {
    for (const address of [...this.#options.seeds, ...this.#extraAddresses])
      if (address !== this.#options.transport.here) void this.compareWith(address);
  }

  /** Both tables end with the newer update of each key. */
  async compareWith(address: Address): Promise<void> {
    // All watchers of a node that joins would otherwise compare with it at once.
    if (this.#inProgress.has(address)) return;
    this.#inProgress.add(address);
    try {
      await this.#compare(address);
    } catch {
      this.#options.counters.add('membership.compareFailed');
    } finally {
      this.#inProgress.delete(address);
    }
  }

  async #compare(address: Address): Promise<void> {
    const { self, stateTable, transport, bounds, counters, merge } = this.#options;
    counters.add('membership.digests');
    const { differing } = await transport.ask(address, membershipCalls.digest, { digest: [...stateTable.digest] }, bounds.failureTimeoutMs);
    if (differing.length === 0) return;
    counters.add('membership.compared');
    const body = { from: transport.here, buckets: differing, versions: stateTable.versions(differing) };
    const response = await transport.ask(address, membershipCalls.compare, body, bounds.failureTimeoutMs);
    const wanted = response.wanted.flatMap((key) => stateTable.get(key) ?? []);
    if (wanted.length > 0) transport.tell(address, membershipCalls.update, { from: self, updates: wanted });
    const isFirst = !this.#hasMerged;
    merge(response.newer, isFirst);
    this.#hasMerged = true;
  }
}
