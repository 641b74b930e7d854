import { membershipCalls } from '@pewterlanding/membership';
import type { StateTable, Update } from '@pewterlanding/membership';
import { hashOf } from '@pewterlanding/model';
import { every } from '@pewterlanding/runtime';
import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Transport } from '@pewterlanding/runtime';

interface InitialUpdateOptions {
  readonly front: NodeName;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Controllers, of which some may be down. */
  readonly seeds: readonly Address[];
  readonly stateTable: StateTable;
  readonly heartbeatMs: number;
  readonly take: (updates: readonly Update[]) => void;
}

/** So often into a heartbeat a controller is asked; while all start together, the first ones know nothing yet. */
const looksPerHeartbeat = 16;
/** After so many heartbeats only the agent is waited for: it is up by then, and before a first configuration there is nothing to get. */
const patienceHeartbeats = 3;

/**
 * What a front that starts asks of controllers itself, until its agent feeds it. The two share a small core and the agent comes
 * up last: waiting for it doubles the time until the front can serve. The words that come this way are those that the agent
 * would bring: news, of which only the newest stands, from the board of any node.
 */
export class InitialUpdate {
  readonly #options: InitialUpdateOptions;
  readonly #stops: readonly (() => void)[];
  /** Those that have not answered yet: a machine without power says nothing, and the others must not wait behind it. */
  readonly #pending = new Set<Address>();
  #asked: number;
  #over = false;

  constructor(options: InitialUpdateOptions) {
    this.#options = options;
    const { clock, heartbeatMs, front } = options;
    // Fronts that start together begin at different controllers.
    this.#asked = hashOf(front);
    this.#stops = [
      every(clock, heartbeatMs / looksPerHeartbeat, () => void this.#ask()),
      clock.after(heartbeatMs * patienceHeartbeats, () => this.close()),
    ];
    void this.#ask();
  }

  /** The agent is heard: from now on its word is enough. */
  close(): void {
    this.#over = true;
    for (const stop of this.#stops) stop();
  }

  async #ask(): Promise<void> {
    const { transport, counters, stateTable, heartbeatMs, seeds, take } = this.#options;
    const seed = seeds[this.#asked % seeds.length];
    this.#asked += 1;
    if (this.#over || seed === undefined || this.#pending.has(seed)) return;
    this.#pending.add(seed);
    try {
      const { differing } = await transport.ask(seed, membershipCalls.digest, { digest: [...stateTable.digest] }, heartbeatMs);
      if (differing.length === 0 || this.#over) return;
      const asked = { from: transport.here, buckets: differing, versions: stateTable.versions(differing) };
      const { newer } = await transport.ask(seed, membershipCalls.compare, asked, heartbeatMs);
      if (this.#over) return;
      counters.add('proxy.firstNews');
      take(newer);
    } catch {
      counters.add('proxy.firstNewsFailed');
    } finally {
      this.#pending.delete(seed);
    }
  }
}
