import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Transport } from '@pewterlanding/runtime';
import type { StateTable } from '../state-table/stateTable.js';
import type { NodeRecord } from '../state-table/nodeRecord.js';
import type { MembershipBounds } from '../protocol/membershipBounds.js';
import { membershipCalls } from '../protocol/membershipCalls.js';
import type { Update } from '../state-table/update.js';

interface AntiEntropyOptions {
  readonly self: NodeName;
  /** A later settings file changes this very list. */
  readonly seeds: readonly Address[];
  readonly stateTable: StateTable;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: MembershipBounds;
  readonly counters: Counters;
  /** Cards of nodes that are thought gone. */
  readonly gone: () => readonly NodeRecord[];
  /** What another board held newer; `first` in the first comparison that brought anything. */
  readonly take: (newer: readonly Update[], first: boolean) => void;
}

/** Compares this board with others', so that what the relay tree missed is made up for. */
export class AntiEntropy {
  readonly #options: AntiEntropyOptions;
  readonly #met: Address[] = [];
  readonly #comparing = new Set<Address>();
  #comparedMs = Number.NEGATIVE_INFINITY;
  #joined = false;
  #rounds = 0;

  constructor(options: AntiEntropyOptions) {
    this.#options = options;
    const { transport, stateTable } = options;
    transport.serve(membershipCalls.digest, async ({ digest }) => ({ differing: [...stateTable.differing(digest)] }));
    transport.serve(membershipCalls.compare, async (body) => {
      const { newer, wanted } = stateTable.compare(body.buckets, body.versions);
      return { newer: [...newer], wanted: [...wanted] };
    });
  }

  /** More addresses to seek others at, beside the seeds, which may all have been replaced. */
  meet(addresses: readonly Address[]): void {
    for (const address of addresses) if (!this.#met.includes(address) && !this.#options.seeds.includes(address)) this.#met.push(address);
  }

  /** Another board's checksum was heard. What differs may be on its way: while news keeps coming, boards differ at every beat. */
  async heard(checksum: number, address: Address): Promise<void> {
    const now = this.#options.clock.nowMs();
    if (checksum === this.#options.stateTable.checksum || now - this.#comparedMs < this.#options.bounds.failureTimeoutMs) return;
    this.#comparedMs = now;
    await this.compareWith(address);
  }

  /** Compares with a seed, and with one node thought gone: that is how two halves of a cut find each other again. */
  async seek(): Promise<void> {
    this.#rounds += 1;
    const { transport } = this.#options;
    const seeds = [...this.#options.seeds, ...this.#met];
    const away = this.#options.gone();
    const seed = seeds[this.#rounds % seeds.length];
    const lost = away[this.#rounds % Math.max(1, away.length)];
    const targets = [seed, lost?.address].flatMap((address) => (address === undefined || address === transport.here ? [] : [address]));
    await Promise.all(targets.map((address) => this.compareWith(address)));
  }

  /** Asks at every address known, but where it still hangs from before; for who is alone. */
  seekAll(): void {
    for (const address of [...this.#options.seeds, ...this.#met])
      if (address !== this.#options.transport.here) void this.compareWith(address);
  }

  /** Both boards end with the newer of each. */
  async compareWith(address: Address): Promise<void> {
    // All that watch a newcomer see at once that it lacks everything.
    if (this.#comparing.has(address)) return;
    this.#comparing.add(address);
    try {
      await this.#compare(address);
    } catch {
      this.#options.counters.add('membership.compareFailed');
    } finally {
      this.#comparing.delete(address);
    }
  }

  async #compare(address: Address): Promise<void> {
    const { self, stateTable, transport, bounds, counters, take } = this.#options;
    counters.add('membership.digests');
    const { differing } = await transport.ask(address, membershipCalls.digest, { digest: [...stateTable.digest] }, bounds.failureTimeoutMs);
    if (differing.length === 0) return;
    counters.add('membership.compared');
    const body = { from: transport.here, buckets: differing, versions: stateTable.versions(differing) };
    const response = await transport.ask(address, membershipCalls.compare, body, bounds.failureTimeoutMs);
    const wanted = response.wanted.flatMap((key) => stateTable.get(key) ?? []);
    if (wanted.length > 0) transport.tell(address, membershipCalls.update, { from: self, updates: wanted });
    const first = !this.#joined;
    take(response.newer, first);
    this.#joined = true;
  }
}
