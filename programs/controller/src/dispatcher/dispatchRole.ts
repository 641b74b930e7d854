import * as v from 'valibot';
import { SingletonRole, updateKeys } from '@pewterlanding/agent';
import type { LeaderFinder } from '@pewterlanding/consensus';
import type { Membership } from '@pewterlanding/membership';
import type { VersionedConfiguration } from '@pewterlanding/model';
import type { Balances } from '@pewterlanding/rate-limit';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { controllerCalls } from '../controllerCalls.js';
import { reachesMajority, RoleLeaseGrantor, RoleLeaseHolder, RoleOffers, serveRoleLeases } from '../roles/index.js';
import type { ClaimRole, RoleMember, RoleState } from '../roles/index.js';
import { BatchShardClient } from './batchShardClient.js';
import { Dispatcher } from './dispatcher.js';
import { serveQuotaCalls } from './serveQuotaCalls.js';

interface DispatchRoleOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: { readonly failureTimeoutMs: number };
  readonly counters: Counters;
  readonly log: Log;
  readonly finder: LeaderFinder;
  /** The configuration shard's state on this node. */
  readonly machine: RoleState;
  /** This node's member of the configuration shard, once it has one. */
  readonly member: () => RoleMember | undefined;
  readonly configuration: () => VersionedConfiguration | undefined;
  /** Resolves once `machine` is surely the newest committed state; rejects on any node but the shard's leader. */
  readonly confirmed: () => Promise<void>;
  readonly propose: ClaimRole;
}

const role = 'dispatch';
/** Of a failure timeout: how long the successor that gets the balances precedes all other candidates. */
const handoverRatio = 0.5;
/** Of a failure timeout: how long the members of the configuration shard have to answer before a claim. */
const majorityProbeRatio = 1 / 4;

/**
 * The dispatcher's singleton role on one controller: held here under a lease, granted here where this node leads the configuration
 * shard.
 */
export class DispatchRole {
  readonly #options: DispatchRoleOptions;
  readonly #grantor: RoleLeaseGrantor;
  readonly #offers: RoleOffers;
  readonly #holder: RoleLeaseHolder;
  #dispatcher: Dispatcher | undefined;

  /** Wires the role, serves its calls, and starts the timers of its offers and its lease. */
  constructor(options: DispatchRoleOptions) {
    const { bounds, clock, transport } = options;
    this.#options = options;
    const leaseMs = RoleLeaseHolder.leaseMs(bounds.failureTimeoutMs);
    this.#grantor = new RoleLeaseGrantor({ clock, leaseMs, handoverMs: bounds.failureTimeoutMs * handoverRatio });
    this.#offers = this.#makeOffers();
    this.#holder = this.#makeHolder();
    serveRoleLeases({ ...options, role, holder: this.#holder, grantor: this.#grantor });
    serveQuotaCalls({ transport, dispatcher: () => this.dispatcher, term: () => this.#holder.term() });
    this.#offers.start();
    this.#holder.start();
  }

  /** The holder as the state table has it; the configuration shard may have a newer one. */
  held(): SingletonRole | undefined {
    const { stateTable } = this.#options.membership;
    const read = v.safeParse(SingletonRole, stateTable.get(updateKeys.singletonRole(role))?.value);
    return read.success ? read.output : undefined;
  }

  /** The dispatcher, while this node holds the role. */
  get dispatcher(): Dispatcher | undefined {
    return this.#holder.term() === undefined ? undefined : this.#dispatcher;
  }

  /** To be called when this node becomes the leader of the configuration shard. */
  lead(): void {
    this.#grantor.lead();
  }

  /** Releases the role and hands the balances over, before this node ends. */
  resign(): Promise<void> {
    return this.#holder.resign();
  }

  /** Ends the timers and the work of the role, without releasing it. */
  close(): void {
    this.#offers.close();
    this.#holder.close();
  }

  #makeOffers(): RoleOffers {
    const { bounds, machine, member } = this.#options;
    return new RoleOffers({
      ...this.#options,
      role,
      grantor: this.#grantor,
      failureTimeoutMs: bounds.failureTimeoutMs,
      isLeader: () => member()?.isLeader === true,
      committedHolder: () => machine.singletonRoles[role],
      respondsToLeader: (name) => this.#respondsToLeader(name),
    });
  }

  #makeHolder(): RoleLeaseHolder {
    const { bounds, member, membership, transport } = this.#options;
    const { failureTimeoutMs } = bounds;
    const probe = { transport, self: membership.name, waitMs: failureTimeoutMs * majorityProbeRatio };
    return new RoleLeaseHolder({
      ...this.#options,
      role,
      failureTimeoutMs,
      knownHolder: () => this.held(),
      reachesMajority: () => reachesMajority({ ...probe, group: member()?.group() ?? [] }),
      acquired: (term, balances) => this.#startDispatcher(term, balances),
      lost: () => this.#endDispatcher(),
      sendHandover: (to, handover) => transport.ask(to, controllerCalls.handRole, handover, failureTimeoutMs),
    });
  }

  /** Whether a follower of the configuration shard has answered this leader within the failure timeout; undefined for others. */
  #respondsToLeader(name: string): boolean | undefined {
    const { member, clock, bounds } = this.#options;
    const followers = member()?.followers() ?? [];
    const follower = followers.find(({ groupMember }) => groupMember.identity.name === name);
    return follower === undefined ? undefined : clock.nowMs() - follower.heardMs < bounds.failureTimeoutMs;
  }

  #startDispatcher(term: number, balances: Balances | undefined): void {
    const { membership, bounds, finder } = this.#options;
    const { failureTimeoutMs } = bounds;
    const dispatcher = new Dispatcher({
      ...this.#options,
      term,
      balances,
      current: () => this.#holder.term(),
      batches: new BatchShardClient(finder, `${membership.name}/${term}`, failureTimeoutMs),
      failureTimeoutMs,
    });
    this.#dispatcher = dispatcher;
    dispatcher.start();
  }

  #endDispatcher(): Balances | undefined {
    const balances = this.#dispatcher?.balances();
    this.#dispatcher?.close();
    this.#dispatcher = undefined;
    return balances;
  }
}
