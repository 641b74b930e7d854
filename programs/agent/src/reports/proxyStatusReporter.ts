import type { Membership } from '@pewterlanding/membership';
import type { Clock, Counters, Transport } from '@pewterlanding/runtime';
import { agentToControllerCalls } from '../calls/index.js';
import type { ProxyStatus } from '../calls/index.js';
import { updateKeys } from '../sharedState/index.js';
import type { JoiningPhase } from './joiningPhase.js';
import { resendHeartbeats } from './resendHeartbeats.js';

interface ReporterOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly counters: Counters;
  readonly joining: JoiningPhase;
}

/** All fronts together publish so many in-flight updates a heartbeat: what a node receives of them must not grow with the fleet. */
const inFlightUpdatesPerHeartbeat = 32;
/** A front's in-flight counts that have not changed are published again after so many of its turns. */
const resendTurns = 8;

/** Publishes a proxy's tasks in flight to all nodes, and reports its configuration version to the controllers. */
export class ProxyStatusReporter {
  readonly #options: ReporterOptions;
  /** Orders this agent's updates after those of its earlier lives. */
  readonly #startedMs: number;
  #turn = 0;
  #heartbeatsSincePublished = 0;
  #reportedVersion = -1;
  /** Version and proxy instance of the last report. */
  #reportedState = '';
  #heartbeatsSinceReported = 0;

  constructor(options: ReporterOptions) {
    this.#options = options;
    this.#startedMs = Math.floor(options.clock.wallMs());
  }

  /** Once a heartbeat. */
  onHeartbeat(status: ProxyStatus): void {
    this.#publishInFlight(status);
    this.#heartbeatsSinceReported += 1;
    // In the joining phase freshness doesn't expire, so controllers need only changes and not every front's heartbeat.
    const mustReport = !this.#options.joining.active || stateOf(status) !== this.#reportedState;
    if (mustReport || this.#heartbeatsSinceReported >= resendHeartbeats) this.#report(status);
  }

  /** A version is in force once the controllers know it of all fronts, so a new one is reported without waiting for a heartbeat. */
  onFeed(status: ProxyStatus): void {
    if (status.version !== this.#reportedVersion) this.#report(status);
  }

  #publishInFlight({ use }: ProxyStatus): void {
    const { membership } = this.#options;
    const key = updateKeys.use(membership.name);
    this.#heartbeatsSincePublished += 1;
    const agents = membership.live().filter((nodeRecord) => nodeRecord.role === 'agent').length;
    const turnHeartbeats = Math.ceil(agents / inFlightUpdatesPerHeartbeat);
    const changed = JSON.stringify(membership.stateTable.get(key)?.value) !== JSON.stringify(use);
    if (this.#heartbeatsSincePublished < (changed ? 1 : resendTurns) * turnHeartbeats) return;
    this.#turn += 1;
    this.#heartbeatsSincePublished = 0;
    membership.put({ key, version: [this.#startedMs, this.#turn], volatile: true, value: use });
  }

  #report(status: ProxyStatus): void {
    const { membership, transport, counters } = this.#options;
    const { version, clockReading } = status;
    counters.add('agent.heldTold');
    this.#reportedVersion = version;
    this.#reportedState = stateOf(status);
    this.#heartbeatsSinceReported = 0;
    for (const { role, address } of membership.live())
      if (role === 'controller') transport.tell(address, agentToControllerCalls.held, { front: membership.name, version, clockReading });
  }
}

function stateOf({ version, clockReading }: ProxyStatus): string {
  return `${version} ${clockReading.instance}`;
}
