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
  readonly leading: () => boolean;
  /** The holder as the configuration shard has it. */
  readonly held: () => SingletonRole | undefined;
  /** Whether this leader had an answer from a controller lately; undefined where the shard does not tell. */
  readonly answers: (name: NodeName) => boolean | undefined;
}

/** A look costs no message while the lease is renewed; so often into a failure timeout its lapse is looked for. */
const looksPerTimeout = 8;
/** A candidate that has not claimed within this part of a failure timeout is passed over. */
const offerRatio = 0.5;

/**
 * On the leader of the configuration shard: offers a role that nobody may act under to one candidate after another, in the agreed
 * order, those that answer this leader first. Whether other nodes hear a candidate decides nothing: only its claim does.
 */
export class RoleOffers {
  readonly #options: RoleOffersOptions;
  readonly #stop: () => void;
  #offering = false;

  constructor(options: RoleOffersOptions) {
    this.#options = options;
    this.#stop = every(options.clock, options.failureTimeoutMs / looksPerTimeout, () => this.look());
  }

  close(): void {
    this.#stop();
  }

  /** Offers the role once, to as many candidates as it takes, if it is vacant. */
  async look(): Promise<void> {
    if (this.#offering || !this.#vacant()) return;
    this.#offering = true;
    try {
      for (const candidate of this.#candidates()) {
        if (!this.#vacant() || (await this.#offer(candidate))) return;
      }
    } finally {
      this.#offering = false;
    }
  }

  #vacant(): boolean {
    const { leading, grantor, role, held } = this.#options;
    return leading() && grantor.vacant(role, held());
  }

  #candidates(): readonly NodeRecord[] {
    const { membership, role, answers } = this.#options;
    const nodeRecords = new Map(
      membership.live().flatMap((nodeRecord) => (nodeRecord.role === 'controller' ? [[nodeRecord.name, nodeRecord] as const] : [])),
    );
    const order = roleOrder(role, [...nodeRecords.keys()]);
    const later = order.filter((name) => answers(name) === false);
    const sooner = order.filter((name) => answers(name) !== false);
    return [...sooner, ...later].flatMap((name) => nodeRecords.get(name) ?? []);
  }

  async #offer(candidate: NodeRecord): Promise<boolean> {
    const { transport, counters, role, held, failureTimeoutMs } = this.#options;
    const term = (held()?.term ?? 0) + 1;
    const offer = transport.ask(candidate.address, controllerCalls.offerRole, { role, term: term }, failureTimeoutMs * offerRatio);
    const taken = await offer.then(
      (response) => response.taken,
      () => false,
    );
    counters.add(taken ? 'controller.rolesGranted' : 'controller.candidatesPassedOver');
    return taken;
  }
}
