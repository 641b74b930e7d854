import * as v from 'valibot';
import type { Membership, NodeRecord, Update } from '@pewterlanding/membership';
import type { Counters, Transport } from '@pewterlanding/runtime';
import { agentToControllerCalls } from '../calls/index.js';
import type { ProxyStatus } from '../calls/index.js';
import { ClockReading, updateKeys } from '../sharedState/index.js';
import type { JoiningPhase } from './joiningPhase.js';
import { resendHeartbeats } from './resendHeartbeats.js';

interface FreshnessOptions {
  readonly membership: Membership;
  readonly transport: Transport;
  readonly heartbeatMs: number;
  readonly counters: Counters;
  readonly joining: JoiningPhase;
  /** Sends updates to the proxy alone. */
  readonly deliver: (updates: readonly Update[]) => Promise<void>;
}

type FreshAnswer = v.InferOutput<typeof agentToControllerCalls.fresh.response>;

/** Without a freshness grant through the shared state for so many heartbeats, the controllers are asked directly. */
const patienceHeartbeats = 4;

/** Asks controllers for a freshness grant when gossip brings none: a proxy's freshness must not depend on one relay. */
export class FreshnessRequester {
  readonly #options: FreshnessOptions;
  #staleHeartbeats = 0;
  #asking = false;

  constructor(options: FreshnessOptions) {
    this.#options = options;
  }

  /** Once a heartbeat. */
  async onHeartbeat(status: ProxyStatus): Promise<void> {
    const joining = this.#options.joining.active;
    const patience = joining ? patienceHeartbeats * resendHeartbeats : patienceHeartbeats;
    const fresh = this.#grantedWithin(patience, status.clockReading);
    this.#staleHeartbeats = fresh ? 0 : this.#staleHeartbeats + 1;
    if (fresh || this.#asking || (joining && this.#staleHeartbeats < patience)) return;
    this.#staleHeartbeats = 0;
    this.#asking = true;
    const answers = await Promise.all(this.#askControllers(status));
    this.#asking = false;
    await this.#options.deliver(this.#updatesOf(answers));
  }

  #grantedWithin(heartbeats: number, now: ClockReading): boolean {
    const { membership, heartbeatMs } = this.#options;
    const own = v.safeParse(ClockReading, membership.stateTable.get(updateKeys.fresh)?.byNode?.[membership.name]);
    return own.success && own.output.instance === now.instance && now.atMs - own.output.atMs < heartbeatMs * heartbeats;
  }

  #askControllers({ version, clockReading }: ProxyStatus): Promise<FreshAnswer | undefined>[] {
    const { membership, transport, heartbeatMs, counters } = this.#options;
    counters.add('agent.askedFresh');
    const body = { front: membership.name, version, clockReading };
    const ask = ({ address }: NodeRecord) =>
      transport.ask(address, agentToControllerCalls.fresh, body, heartbeatMs * patienceHeartbeats).catch(() => undefined);
    return membership
      .live()
      .filter((nodeRecord) => nodeRecord.role === 'controller')
      .map(ask);
  }

  #updatesOf(answers: readonly (FreshAnswer | undefined)[]): readonly Update[] {
    const updates: Update[] = [];
    for (const answer of answers) {
      if (answer === undefined) continue;
      updates.push({
        key: updateKeys.fresh,
        version: [answer.term, answer.count],
        volatile: true,
        value: { version: answer.version },
        // For this proxy alone: in the shared state it would replace the update that carries every front's clock reading.
        byNode: { [this.#options.membership.name]: answer.clockReading },
      });
    }
    return updates;
  }
}
