import type { SingletonRole } from '@pewterlanding/agent';
import { roleOrder } from '@pewterlanding/membership';
import type { NodeRecord, Membership } from '@pewterlanding/membership';
import type { NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Transport } from '@pewterlanding/runtime';
import { every } from '@pewterlanding/runtime';
import { controllerCalls } from '../controllerCalls.js';
import type { RoleLeaseGrantor } from './roleLeaseGrantor.js';

interface RoleOffersOptions {
  readonly role: string;
  readonly membership: Membership;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly grantor: RoleLeaseGrantor;
  readonly failureTimeoutMs: number;
  /** Whether this node leads the configuration shard now. */
  readonly isLeader: () => boolean;
  /** The holder as the configuration shard has it. */
  readonly committedHolder: () => SingletonRole | undefined;
  /** Whether a controller answered this leader within the failure timeout; undefined for one outside the configuration shard. */
  readonly respondsToLeader: (name: NodeName) => boolean | undefined;
}

/** A check sends nothing while the lease is renewed; so often in a failure timeout an expired one is looked for. */
const vacancyChecksPerTimeout = 8;
/** Of a failure timeout: how long a candidate has to claim before the next one is offered the role. */
const offerRatio = 0.5;

/**
 * On the leader of the configuration shard: offers a vacant role to one candidate after another, in the agreed order, those that
 * answer this leader first. Whether other nodes reach a candidate is not considered: its claim shows whether it can hold the role.
 */
export class RoleOffers {
  readonly #options: RoleOffersOptions;
  #stop = (): void => undefined;
  #offering = false;

  constructor(options: RoleOffersOptions) {
    this.#options = options;
  }

  /** Starts looking for a vacant role. */
  start(): void {
    const { clock, failureTimeoutMs } = this.#options;
    this.#stop = every(clock, failureTimeoutMs / vacancyChecksPerTimeout, () => this.#offerIfVacant());
  }

  close(): void {
    this.#stop();
  }

  /** Ends when a candidate has accepted, all were asked, or the role is no longer vacant. */
  async #offerIfVacant(): Promise<void> {
    if (this.#offering || !this.#isVacant()) return;
    this.#offering = true;
    try {
      for (const candidate of this.#candidates()) {
        if (!this.#isVacant() || (await this.#offer(candidate))) return;
      }
    } finally {
      this.#offering = false;
    }
  }

  #isVacant(): boolean {
    const { isLeader, grantor, role, committedHolder } = this.#options;
    return isLeader() && grantor.isVacant(role, committedHolder());
  }

  #candidates(): readonly NodeRecord[] {
    const { membership, role, respondsToLeader } = this.#options;
    const controllers = membership.live().filter((nodeRecord) => nodeRecord.role === 'controller');
    const nodeRecords = new Map(controllers.map((nodeRecord) => [nodeRecord.name, nodeRecord]));
    const order = roleOrder(role, [...nodeRecords.keys()]);
    const first = order.filter((name) => respondsToLeader(name) !== false);
    const last = order.filter((name) => respondsToLeader(name) === false);
    const candidates = [...first, ...last];
    return candidates.map((name) => nodeRecords.get(name)).filter((nodeRecord) => nodeRecord !== undefined);
  }

  async #offer(candidate: NodeRecord): Promise<boolean> {
    const { transport, counters, role, committedHolder, failureTimeoutMs } = this.#options;
    const term = (committedHolder()?.term ?? 0) + 1;
    const offer = transport.ask(candidate.address, controllerCalls.offerRole, { role, term }, failureTimeoutMs * offerRatio);
    const accepted = await offer.then(
      (response) => response.taken,
      () => false,
    );
    counters.add(accepted ? 'controller.rolesGranted' : 'controller.candidatesPassedOver');
    return accepted;
  }
}
