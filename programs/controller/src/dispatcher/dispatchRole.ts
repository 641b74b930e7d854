import * as v from 'valibot';
import { agentToControllerCalls, SingletonRole, updateKeys } from '@pewterlanding/agent';
import type { Member, LeaderFinder } from '@pewterlanding/consensus';
import { replyAsLeader } from '@pewterlanding/consensus';
import type { Balances } from '@pewterlanding/rate-limit';
import type { VersionedConfiguration } from '@pewterlanding/model';
import { TransportError } from '@pewterlanding/runtime';
import { controllerCalls } from '../controllerCalls.js';
import type { ControllerOptions } from '../controllerOptions.js';
import { Dispatcher } from './dispatcher.js';
import { BatchShardClient } from './batchShardClient.js';
import { reachesMajority } from '../roles/reachesMajority.js';
import { RoleLeaseGrantor } from '../roles/roleLeaseGrantor.js';
import { RoleLeaseHolder } from '../roles/roleLeaseHolder.js';
import { RoleOffers } from '../roles/roleOffers.js';
import type { ConfigurationCommand } from '../configuration/configurationCommand.js';
import type { ConfigurationShard } from '../configuration/configurationShard.js';
import type { ConfigurationReturn } from '../configuration/configurationReturn.js';

interface DispatchRoleOptions extends Pick<ControllerOptions, 'membership' | 'clock' | 'transport' | 'bounds' | 'counters' | 'log'> {
  readonly finder: LeaderFinder;
  readonly machine: ConfigurationShard;
  readonly member: () => Member<ConfigurationCommand, ConfigurationReturn> | undefined;
  readonly configuration: () => VersionedConfiguration | undefined;
  /** Resolves once what this node holds of the configuration shard is surely the newest; only on its leader. */
  readonly confirmed: () => Promise<void>;
  readonly propose: (id: string, command: ConfigurationCommand) => Promise<ConfigurationReturn>;
}

const role = 'dispatch';
/** The successor that gets the balances goes before all others for this part of a failure timeout. */
const handoverRatio = 0.5;

/** The dispatcher's role on one controller: held here under a lease, granted here where this node leads the configuration shard. */
export class DispatchRole {
  readonly #options: DispatchRoleOptions;
  readonly #grantor: RoleLeaseGrantor;
  readonly #offers: RoleOffers;
  readonly #holder: RoleLeaseHolder;
  #dispatcher: Dispatcher | undefined;

  constructor(options: DispatchRoleOptions) {
    const { transport, bounds, clock, machine, member, membership } = options;
    const { failureTimeoutMs } = bounds;
    this.#options = options;
    const leaseMs = RoleLeaseHolder.leaseMs(failureTimeoutMs);
    this.#grantor = new RoleLeaseGrantor({ clock, leaseMs, handoverMs: failureTimeoutMs * handoverRatio });
    this.#offers = new RoleOffers({
      ...options,
      role,
      grantor: this.#grantor,
      failureTimeoutMs,
      leading: () => member()?.isLeader === true,
      held: () => machine.singletonRoles[role],
      answers: (name) => this.#answers(name),
    });
    this.#holder = new RoleLeaseHolder({
      ...options,
      role,
      failureTimeoutMs,
      held: () => this.held(),
      reachesMajority: () =>
        reachesMajority({ transport, self: membership.name, group: member()?.group() ?? [], waitMs: failureTimeoutMs / 4 }),
      begin: (term, balances) => this.#begin(term, balances),
      end: () => this.#end(),
      hand: (to, handed) => transport.ask(to, controllerCalls.handRole, handed, failureTimeoutMs),
    });
    this.#serveLease();
    this.#serveCounter();
  }

  /** The holder as news have it. */
  held(): SingletonRole | undefined {
    const read = v.safeParse(SingletonRole, this.#options.membership.stateTable.get(updateKeys.singletonRole(role))?.value);
    return read.success ? read.output : undefined;
  }

  get dispatcher(): Dispatcher | undefined {
    return this.#holder.term() === undefined ? undefined : this.#dispatcher;
  }

  /** This node begins to lead the configuration shard. */
  lead(): void {
    this.#grantor.lead();
  }

  resign(): Promise<void> {
    return this.#holder.resign();
  }

  close(): void {
    this.#offers.close();
    this.#holder.close();
  }

  /** What the shard's leader knows of a controller that sits in the shard. */
  #answers(name: string): boolean | undefined {
    const { member, clock, bounds } = this.#options;
    const follower = member()
      ?.followers()
      .find(({ groupMember }) => groupMember.identity.name === name);
    return follower === undefined ? undefined : clock.nowMs() - follower.heardMs < bounds.failureTimeoutMs;
  }

  #serveLease(): void {
    const { transport, confirmed, propose, machine } = this.#options;
    transport.serve(controllerCalls.offerRole, async (offer) => ({
      taken: offer.role === role && (await this.#holder.offered(offer.term)),
    }));
    transport.serve(controllerCalls.handRole, async (handed) => ({ taken: handed.role === role && (await this.#holder.receive(handed)) }));
    transport.serve(controllerCalls.claimRole, ({ role: claimed, claim }) =>
      replyAsLeader(async () => {
        await confirmed();
        const held = machine.singletonRoles[claimed];
        // A claim sent again must not be one lease more: its sender may never have heard of the first.
        if (held?.holder === claim.holder && held.term === claim.term) return {};
        if (!this.#grantor.free(claimed, held, claim.holder)) return { held };
        const response = await propose(`duty/${claimed}/${claim.term}/${claim.holder}`, {
          kind: 'claimRole',
          singletonRole: claimed,
          claim,
        });
        this.#grantor.renewed(claimed);
        return { held: response.singletonRole };
      }),
    );
    transport.serve(controllerCalls.renewRole, ({ role: renewed, term, release }) =>
      replyAsLeader(async () => {
        await confirmed();
        const held = machine.singletonRoles[renewed]?.term === term;
        if (held && release) this.#grantor.released(renewed);
        else if (held) this.#grantor.renewed(renewed);
        return { held };
      }),
    );
  }

  #serveCounter(): void {
    const { transport } = this.#options;
    const holding = (): Dispatcher => {
      const { dispatcher } = this;
      if (dispatcher === undefined) throw new TransportError('refused', 'the counter is not here');
      return dispatcher;
    };
    transport.serve(agentToControllerCalls.requestQuota, async (quotaRequest) => holding().draw(quotaRequest));
    transport.serve(agentToControllerCalls.settle, async ({ settled }) => {
      this.dispatcher?.settle(settled);
      return {};
    });
    transport.serve(controllerCalls.quotas, async () => {
      const dispatcher = holding();
      return { term: this.#holder.term() ?? 0, quotas: [...dispatcher.view()], waiting: { ...dispatcher.waiting } };
    });
  }

  #begin(term: number, balances: Balances | undefined): void {
    const { membership, bounds, finder } = this.#options;
    this.#dispatcher = new Dispatcher({
      ...this.#options,
      term,
      balances,
      current: () => this.#holder.term(),
      batches: new BatchShardClient(finder, `${membership.name}/${term}`, bounds.failureTimeoutMs),
      failureTimeoutMs: bounds.failureTimeoutMs,
    });
  }

  #end(): Balances | undefined {
    const left = this.#dispatcher?.balances();
    this.#dispatcher?.close();
    this.#dispatcher = undefined;
    return left;
  }
}
