import type { Member, ShardMap } from '@pewterlanding/consensus';
import { bootstrapGroup, GroupReconciler, LeaderFinder, ShardHost } from '@pewterlanding/consensus';
import type { SingletonRole } from '@pewterlanding/agent';
import type { Address, VersionedConfiguration } from '@pewterlanding/model';
import { every, pause, TransportError } from '@pewterlanding/runtime';
import { announceGroup } from '@pewterlanding/store';
import { AuditService } from './audit/auditService.js';
import type { ConfigurationCommand } from './configuration/configurationCommand.js';
import { ConfigurationFreshness } from './configuration/configurationFreshness.js';
import { ConfigurationPublisher } from './configuration/configurationPublisher.js';
import type { ConfigurationReturn } from './configuration/configurationReturn.js';
import { ConfigurationShard } from './configuration/configurationShard.js';
import { configurationShardName } from './configuration/configurationShardName.js';
import { serveConfiguration } from './configuration/serveConfiguration.js';
import { serveConfigurationChanges } from './configuration/serveConfigurationChanges.js';
import type { ControllerOptions } from './controllerOptions.js';
import { BatchShardClient } from './dispatcher/batchShardClient.js';
import type { Dispatcher } from './dispatcher/dispatcher.js';
import { DispatchRole } from './dispatcher/dispatchRole.js';
import { waitingItems } from './dispatcher/waitingItems.js';
import { firstStart } from './firstStart.js';
import { initialGroup } from './placement/initialGroup.js';
import { PlacementController } from './placement/placementController.js';
import { ReplicaRegistry } from './replicas/replicaRegistry.js';
import { ServiceRegistry } from './replicas/serviceRegistry.js';
import { ShardAddresses } from './shardAddresses.js';

/**
 * One controller machine: a member of the configuration shard and of service shards, and a candidate for the dispatcher's role.
 * It serves calls as soon as it is made; `start` makes it a member.
 */
export class Controller {
  /** Asks the leaders of shards. */
  readonly finder: LeaderFinder;
  readonly services: ServiceRegistry;
  /** Replicas that send their heartbeats to the controller. */
  readonly watch: ReplicaRegistry;
  readonly #options: ControllerOptions;
  readonly #host: ShardHost;
  readonly #machine = new ConfigurationShard((line) => this.#audit.archive.keep([line]));
  readonly #addresses: ShardAddresses;
  readonly #publisher: ConfigurationPublisher;
  readonly #audit: AuditService;
  readonly #freshness: ConfigurationFreshness;
  readonly #dispatch: DispatchRole;
  readonly #placementController: PlacementController;
  readonly #stops: (() => void)[] = [];
  #member: Member<ConfigurationCommand, ConfigurationReturn> | undefined;
  #reconciler: GroupReconciler<ConfigurationCommand, ConfigurationReturn> | undefined;

  constructor(options: ControllerOptions) {
    const { membership, clock, transport, bounds } = options;
    const { failureTimeoutMs } = bounds;
    const ground = { ...options, failureTimeoutMs, machine: this.#machine };
    const leader = {
      confirmed: () => this.#confirmed(),
      propose: (id: string, command: ConfigurationCommand) => this.#propose(id, command),
    };
    this.#options = options;
    this.#host = new ShardHost({ ...options, name: membership.name, address: transport.here });
    this.#publisher = new ConfigurationPublisher(membership, this.#machine);
    this.#addresses = new ShardAddresses(membership, options.seeds, () => this.#publisher.table);
    this.finder = new LeaderFinder({ transport, clock, tryMs: failureTimeoutMs, members: (shard) => this.#addresses.of(shard) });
    this.#freshness = this.#makeFreshness();
    const peers = (): readonly Address[] => this.#addresses.of(configurationShardName).filter((address) => address !== transport.here);
    this.#audit = new AuditService({ ...ground, ...leader, peers });
    this.services = new ServiceRegistry(options, this.#host, () => this.configuration?.configuration);
    const shard = { ...ground, finder: this.finder, member: () => this.#member };
    this.#dispatch = new DispatchRole({ ...shard, ...leader, configuration: () => this.configuration });
    this.#placementController = new PlacementController({ ...shard, copies: options.copies });
    membership.onUpdate(({ key, value }) => this.#publisher.receive(key, value));
    membership.onNodeRecord((nodeRecord, begun) => {
      if (begun) this.#reconciler?.meet(nodeRecord.address);
    });
    this.watch = new ReplicaRegistry({
      ...options,
      heartbeatMs: options.replicaHeartbeatMs ?? failureTimeoutMs,
      configuration: () => this.configuration?.configuration,
    });
    this.#serve(leader);
  }

  /** Bootstraps or joins the configuration shard; resolves once this machine is a member or waits to be one. */
  async start(): Promise<void> {
    const { membership, clock, bounds, counters, heartbeatMs } = this.#options;
    await this.watch.open().catch(() => counters.add('replica.instancesNotStored'));
    const shard = configurationShardName;
    const known = await this.#host.known(shard);
    // The seeds may all have been replaced since this machine last ran.
    membership.meet(known.map((member) => member.identity.address));
    const { bootstrap, over } = await firstStart(this.#options.disk, this.#options.bootstrap);
    const members = await bootstrapGroup({ ...this.#options, shard, host: this.#host, waitMs: bounds.failureTimeoutMs, known, bootstrap });
    const member = await this.#host.host<ConfigurationCommand, ConfigurationReturn>(shard, members, this.#machine, {
      leadershipChanged: (term) => this.#leadershipChanged(term),
      applied: () => this.#stateChanged(),
      noticed: () => this.#reconciler?.stepSoon(),
    });
    this.#member = member;
    await over();
    this.#reconciler = this.#makeReconciler(member);
    this.#stops.push(every(clock, heartbeatMs, () => this.#freshness.heartbeat().catch(() => counters.add('controller.unconfirmed'))));
    this.#stops.push(every(clock, bounds.failureTimeoutMs / 2, () => this.#maintain()));
  }

  /** Who holds the dispatcher's role, as far as this machine knows. */
  singletonRole(): SingletonRole | undefined {
    return this.#dispatch.held();
  }

  /** The configuration in force, as far as this machine knows. */
  get configuration(): VersionedConfiguration | undefined {
    return this.#publisher.configuration;
  }

  /** The members of every shard, as far as this machine knows. */
  get table(): ShardMap {
    return this.#publisher.table;
  }

  /** This machine's member of the configuration shard; undefined before it has joined. */
  get member(): Member<ConfigurationCommand, ConfigurationReturn> | undefined {
    return this.#member;
  }

  /** The dispatcher, while this machine holds its role. */
  get dispatcher(): Dispatcher | undefined {
    return this.#dispatch.dispatcher;
  }

  /**
   * Leaves the fleet: releases the dispatcher's role first, since that is written in the configuration shard, then the shards.
   * Resolves after two failure timeouts at the latest.
   */
  async leave(): Promise<void> {
    const { membership, clock, bounds } = this.#options;
    const maxLeaveMs = bounds.failureTimeoutMs * 2;
    const release = async (): Promise<void> => {
      await this.#dispatch.resign();
      await Promise.all([this.#member?.leave(maxLeaveMs), this.services.leave(maxLeaveMs)]);
    };
    membership.leave();
    // Nobody may be left to take over, as when every controller ends at once.
    await Promise.race([release(), pause(clock, maxLeaveMs)]);
    this.close();
  }

  close(): void {
    for (const stop of this.#stops) stop();
    this.#reconciler?.close();
    this.#audit.close();
    this.#placementController.close();
    this.#dispatch.close();
    this.services.close();
    this.watch.close();
    this.#host.close();
  }

  #makeFreshness(): ConfigurationFreshness {
    const { membership, clock, bounds } = this.#options;
    return new ConfigurationFreshness({
      membership,
      clock,
      confirm: () => this.#confirmed(),
      version: () => this.#machine.version,
      freshnessMs: () => this.#machine.configuration?.bounds.freshnessMs ?? bounds.failureTimeoutMs,
      joining: () => this.#machine.configuration?.joining === true,
    });
  }

  #makeReconciler(member: Member<ConfigurationCommand, ConfigurationReturn>) {
    const { membership, transport, clock, counters, log, bounds } = this.#options;
    return new GroupReconciler({
      member,
      transport,
      clock,
      counters,
      log,
      failureTimeoutMs: bounds.failureTimeoutMs,
      wanted: () => this.#machine.wanted().get(configurationShardName),
      changed: () => announceGroup(membership, member),
    });
  }

  #serve(leader: Pick<Parameters<typeof serveConfiguration>[0], 'confirmed' | 'propose'>): void {
    const { transport, clock, counters } = this.#options;
    const ground = { transport, counters, machine: this.#machine, wallMs: () => clock.wallMs(), ...leader };
    serveConfiguration({ ...ground, freshness: this.#freshness, waiting: () => this.#waiting() });
    serveConfigurationChanges({ ...ground, publish: () => this.#publish() });
  }

  async #confirmed(): Promise<void> {
    await this.#joined().confirmLeadership();
  }

  #propose(id: string, command: ConfigurationCommand): Promise<ConfigurationReturn> {
    return this.#joined().propose(id, command);
  }

  #joined(): Member<ConfigurationCommand, ConfigurationReturn> {
    if (this.#member === undefined) throw new TransportError('refused', 'not yet a member of the configuration shard');
    return this.#member;
  }

  #leadershipChanged(term: number | undefined): void {
    this.#freshness.own(term);
    if (term !== undefined) this.#dispatch.lead();
    this.#stateChanged();
  }

  #stateChanged(): void {
    this.#publish();
    this.#nudge();
  }

  /** Has placement and reconciliation look at the changed state; they act only on the leader. */
  #nudge(): void {
    this.#placementController.nudge();
    this.#reconciler?.stepSoon();
  }

  #publish(): void {
    if (this.#member?.isLeader === true) this.#publisher.publish();
  }

  /** On the leader: publishes and signs what is pending, and bootstraps shards that the configuration wants. */
  async #maintain(): Promise<void> {
    const member = this.#member;
    if (member?.isLeader !== true) return;
    announceGroup(this.#options.membership, member);
    this.#publish();
    await this.#audit.sign();
    this.#placementController.nudge();
    await this.#bootstrapShards();
  }

  /** Bootstraps each shard once all machines that shall be its members have said who they are. */
  async #bootstrapShards(): Promise<void> {
    const { transport, bounds, counters } = this.#options;
    const wanted = this.#machine.wanted();
    for (const shard of this.#machine.notBootstrapped()) {
      const addresses = (wanted.get(shard) ?? []).map(({ address }) => address);
      const members = await initialGroup(transport, shard, addresses, bounds.failureTimeoutMs);
      if (members === undefined) continue;
      const command = { kind: 'bootstrap' as const, shard, members };
      await this.#propose(`found/${shard}`, command).catch(() => counters.add('controller.bootstrapFailed'));
    }
  }

  #waiting(): Promise<Readonly<Record<string, number>>> {
    const { membership, bounds } = this.#options;
    return waitingItems(
      new BatchShardClient(this.finder, `${membership.name}/plan`, bounds.failureTimeoutMs),
      this.#machine.configuration?.batchShards ?? 0,
    );
  }
}
