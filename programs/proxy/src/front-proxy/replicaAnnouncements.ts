import { agentCalls, updateKeys } from '@pewterlanding/agent';
import type { Replica } from '@pewterlanding/agent';
import type { Update } from '@pewterlanding/membership';
import type { Address } from '@pewterlanding/model';
import type { Counters, Transport } from '@pewterlanding/runtime';
import { replicaKey } from '../routing/replicaKey.js';
import type { RoutingState } from '../updates/index.js';

interface ReplicaAnnouncementsOptions {
  readonly transport: Transport;
  readonly agent: Address;
  readonly routingState: RoutingState;
  readonly timeoutMs: number;
  readonly counters: Counters;
  /** Called after an announcement changed the routing tables. */
  readonly changed: () => void;
}

/** Above every other counter of its incarnation: one that announced its end cannot announce that it serves again. */
const leavingTurn = 1_000_000_000;

/** Announcements of replicas at this proxy: applied here at once, then sent to the agent until it acknowledges them. */
export class ReplicaAnnouncements {
  readonly #options: ReplicaAnnouncementsOptions;
  readonly #unacknowledged = new Map<string, Update>();

  constructor(options: ReplicaAnnouncementsOptions) {
    this.#options = options;
  }

  /** Applies an announcement, or says why it is rejected. */
  announce(replica: Replica): 'accepted' | 'unknown service' | 'not allowed' | 'stale incarnation' {
    const { routingState, counters, changed } = this.#options;
    const objection = routingState.objection(replica);
    if (objection !== undefined) {
      counters.add('replica.refused');
      return objection;
    }
    const update = this.#updateOf(replica);
    routingState.apply([update]);
    changed();
    this.#unacknowledged.set(update.key, update);
    void this.send();
    counters.add(`replica.${replica.state}`);
    return 'accepted';
  }

  /** Sends what the agent has not acknowledged. Called at each heartbeat, so that one lost send does not lose an announcement. */
  async send(): Promise<void> {
    const { transport, agent, timeoutMs, counters } = this.#options;
    const sent = [...this.#unacknowledged.values()];
    if (sent.length === 0) return;
    try {
      await transport.ask(agent, agentCalls.tell, { updates: sent }, timeoutMs);
      for (const update of sent) this.#acknowledge(update);
    } catch {
      counters.add('proxy.unsaid');
    }
  }

  /** A later announcement may have replaced the one that was sent. */
  #acknowledge(update: Update): void {
    if (this.#unacknowledged.get(update.key) === update) this.#unacknowledged.delete(update.key);
  }

  #updateOf(replica: Replica): Update {
    const key = updateKeys.replica(replica.service, replicaKey(replica));
    const version: Update['version'] = [replica.incarnation, this.#turnOf(key, replica)];
    return { key, version, volatile: false, value: replica };
  }

  /** Orders the announcements of one incarnation. */
  #turnOf(key: string, replica: Replica): number {
    if (replica.state === 'leaving') return leavingTurn;
    const known = this.#options.routingState.stateTable.get(key);
    return known?.version[0] === replica.incarnation ? known.version[1] + 1 : 0;
  }
}
