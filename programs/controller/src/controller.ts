import * as v from 'valibot';
import type { Member } from '@pewterlanding/consensus';
import { bootstrapGroup, GroupReconciler, LeaderFinder, replyAsLeader, ShardHost, ShardMap } from '@pewterlanding/consensus';
import type { SingletonRole } from '@pewterlanding/agent';
import { agentToControllerCalls, updateKeys } from '@pewterlanding/agent';
import { VersionedConfiguration } from '@pewterlanding/model';
import { every, pause, TransportError } from '@pewterlanding/runtime';
import type { Address } from '@pewterlanding/model';
import { announceGroup } from '@pewterlanding/store';
import { AuditService } from './audit/auditService.js';
import { controllerCalls } from './controllerCalls.js';
import type { ControllerOptions } from './controllerOptions.js';
import type { Dispatcher } from './dispatcher/dispatcher.js';
import { DispatchRole } from './dispatcher/dispatchRole.js';
import { firstStart } from './firstStart.js';
import { ConfigurationFreshness } from './configuration/configurationFreshness.js';
import { BatchShardClient } from './dispatcher/batchShardClient.js';
import { makePlan } from './configuration/makePlan.js';
import { initialGroup } from './placement/initialGroup.js';
import { PlacementController } from './placement/placementController.js';
import { ReplicaRegistry } from './replicas/replicaRegistry.js';
import { serveConfigurationChanges } from './configuration/serveConfigurationChanges.js';
import { ServiceRegistry } from './replicas/serviceRegistry.js';
import type { ConfigurationCommand } from './configuration/configurationCommand.js';
import { ConfigurationShard } from './configuration/configurationShard.js';
import type { ConfigurationReturn } from './configuration/configurationReturn.js';
import { waitingItems } from './dispatcher/waitingItems.js';
import { withoutSourceDocuments } from './configuration/withoutSourceDocuments.js';

/** One machine of the controller: a member of the setup shard and of service shards, and perhaps the dispatcher. */
export class Controller {
  readonly finder: LeaderFinder;
  readonly services: ServiceRegistry;
  /** Takes the words of replicas that speak to the controller. */
  readonly watch: ReplicaRegistry;
  readonly #options: ControllerOptions;
  readonly #host: ShardHost;
  readonly #machine = new ConfigurationShard((line) => this.#audit.archive.keep([line]));
  readonly #audit: AuditService;
  readonly #fresh: ConfigurationFreshness;
  readonly #dispatch: DispatchRole;
  readonly #placementController: PlacementController;
  readonly #stops: (() => void)[] = [];
  #member: Member<ConfigurationCommand, ConfigurationReturn> | undefined;
  #keeper: GroupReconciler<ConfigurationCommand, ConfigurationReturn> | undefined;
  #table = ShardMap.empty();
  #configuration: VersionedConfiguration | undefined;

  constructor(options: ControllerOptions) {
    const { membership, clock, transport, bounds } = options;
    this.#options = options;
    this.#host = new ShardHost({ ...options, name: membership.name, address: transport.here });
    this.finder = new LeaderFinder({ transport, clock, tryMs: bounds.failureTimeoutMs, members: (shard) => this.#members(shard) });
    this.#fresh = new ConfigurationFreshness({
      membership,
      clock,
      confirm: () => this.#confirmed(),
      version: () => this.#machine.version,
      freshnessMs: () => this.#machine.configuration?.bounds.freshnessMs ?? bounds.failureTimeoutMs,
      joining: () => this.#machine.configuration?.joining === true,
    });
    this.#audit = new AuditService({
      ...options,
      failureTimeoutMs: bounds.failureTimeoutMs,
      machine: this.#machine,
      confirmed: () => this.#confirmed(),
      propose: (id, command) => this.#propose(id, command),
      peers: () => this.#members('setup').filter((address) => address !== transport.here),
    });
    this.services = new ServiceRegistry(options, this.#host, () => this.#configuration?.configuration);
    this.#dispatch = new DispatchRole({
      ...options,
      finder: this.finder,
      machine: this.#machine,
      member: () => this.#member,
      configuration: () => this.#configuration,
      confirmed: () => this.#confirmed(),
      propose: (id, command) => this.#propose(id, command),
    });
    this.#placementController = new PlacementController({
      ...options,
      failureTimeoutMs: bounds.failureTimeoutMs,
      finder: this.finder,
      machine: this.#machine,
      member: () => this.#member,
      copies: options.copies,
    });
    membership.onUpdate((update) => this.#takeUpdate(update.key, update.value));
    membership.onNodeRecord((nodeRecord, begun) => {
      if (begun) this.#keeper?.meet(nodeRecord.address);
    });
    const replicaHeartbeatMs = options.replicaHeartbeatMs ?? bounds.failureTimeoutMs;
    this.watch = new ReplicaRegistry({
      ...options,
      heartbeatMs: replicaHeartbeatMs,
      configuration: () => this.#configuration?.configuration,
    });
    this.#serve();
    serveConfigurationChanges({
      transport,
      counters: options.counters,
      machine: this.#machine,
      wallMs: () => clock.wallMs(),
      confirmed: () => this.#confirmed(),
      propose: (id, command) => this.#propose(id, command),
      publish: () => this.#publish(),
    });
  }

  /** Founds or joins the setup shard; resolves once this machine is a member or waits to be one. */
  async start(): Promise<void> {
    const { membership, clock, transport, bounds, counters, log, heartbeatMs } = this.#options;
    await this.watch.open().catch(() => counters.add('replica.livesNotKept'));
    const shard = 'setup';
    const known = await this.#host.known(shard);
    // The seeds may all have been replaced since this machine last ran.
    membership.meet(known.map((member) => member.identity.address));
    const { bootstrap, over } = await firstStart(this.#options.disk, this.#options.bootstrap);
    const members = await bootstrapGroup({ ...this.#options, shard, host: this.#host, waitMs: bounds.failureTimeoutMs, known, bootstrap });
    const member = await this.#host.host<ConfigurationCommand, ConfigurationReturn>(shard, members, this.#machine, {
      leadershipChanged: (term) => {
        this.#fresh.own(term);
        if (term !== undefined) this.#dispatch.lead();
        this.#publish();
        this.#nudge();
      },
      applied: () => {
        this.#publish();
        this.#nudge();
      },
      noticed: () => this.#keeper?.stepSoon(),
    });
    this.#member = member;
    await over();
    const wanted = (): ReturnType<ConfigurationShard['table']>['shards'][string]['wanted'] | undefined =>
      this.#machine.wanted().get('setup');
    const changed = (): void => announceGroup(membership, member);
    this.#keeper = new GroupReconciler({
      member,
      transport,
      clock,
      counters,
      log,
      failureTimeoutMs: bounds.failureTimeoutMs,
      wanted,
      changed,
    });
    this.#stops.push(every(clock, heartbeatMs, () => this.#fresh.heartbeat().catch(() => counters.add('controller.unconfirmed'))));
    this.#stops.push(every(clock, bounds.failureTimeoutMs / 2, () => this.#found()));
  }

  singletonRole(): SingletonRole | undefined {
    return this.#dispatch.held();
  }

  /** The setup in force as this machine knows it. */
  get configuration(): VersionedConfiguration | undefined {
    return this.#configuration;
  }

  get table(): ShardMap {
    return this.#table;
  }

  /** The setup shard's member here, for status. */
  get member(): Member<ConfigurationCommand, ConfigurationReturn> | undefined {
    return this.#member;
  }

  get dispatcher(): Dispatcher | undefined {
    return this.#dispatch.dispatcher;
  }

  /** Ends politely: the dispatcher's role goes to the next one first, for its release is written in the setup shard; then the shards. */
  async leave(): Promise<void> {
    const { membership, clock, bounds } = this.#options;
    const patienceMs = bounds.failureTimeoutMs * 2;
    const handing = async (): Promise<void> => {
      await this.#dispatch.resign();
      await Promise.all([this.#member?.leave(patienceMs), this.services.leave(patienceMs)]);
    };
    membership.leave();
    // Where nobody is left to take over, as when the whole controller ends, the grace must not run out over it.
    await Promise.race([handing(), pause(clock, patienceMs)]);
    this.close();
  }

  close(): void {
    for (const stop of this.#stops) stop();
    this.#keeper?.close();
    this.#audit.close();
    this.#placementController.close();
    this.#dispatch.close();
    this.services.close();
    this.watch.close();
    this.#host.close();
  }

  #serve(): void {
    const { transport, clock, counters } = this.#options;
    transport.serve(agentToControllerCalls.held, async ({ front, version, clockReading }) => {
      this.#fresh.held(front, version, clockReading);
      return {};
    });
    transport.serve(agentToControllerCalls.fresh, async ({ front, version, clockReading }) => {
      const response = await this.#fresh.freshnessOf(front, version, clockReading);
      if (response === undefined) throw new TransportError('refused', 'the setup part is not owned here');
      return response;
    });
    transport.serve(controllerCalls.plan, ({ id, proposal }) =>
      replyAsLeader(async () => {
        await this.#confirmed();
        const { version, configuration } = this.#machine;
        const known = this.#machine.plan(id);
        if (known !== undefined) return { plan: known, findings: [] };
        const waiting = await this.#waiting();
        const made = makePlan(proposal, { id, version, configuration, waiting, atMs: clock.wallMs() });
        if (!made.ok) return { findings: [...made.findings] };
        await this.#propose(`plan/${id}`, { kind: 'plan', plan: made.value });
        counters.add('controller.plans');
        return { plan: made.value, findings: [] };
      }),
    );
    transport.serve(controllerCalls.readPlan, ({ plan }) =>
      replyAsLeader(async () => {
        await this.#confirmed();
        return this.#machine.plan(plan);
      }),
    );
    transport.serve(controllerCalls.confirm, ({ plan, acknowledged, atMs }) =>
      replyAsLeader(async () => {
        const { outcome } = await this.#propose(`confirm/${plan}/${acknowledged}/${atMs}`, { kind: 'confirm', plan, acknowledged, atMs });
        if (outcome === undefined) throw new TransportError('refused', 'no outcome');
        return { outcome, inForce: outcome.outcome === 'confirmed' && this.#fresh.inForce(outcome.version) };
      }),
    );
    transport.serve(controllerCalls.configuration, () =>
      replyAsLeader(async () => {
        await this.#confirmed();
        const { version, configuration, history, singletonRoles } = this.#machine;
        return { version, configuration, history: [...history], singletonRoles: { ...singletonRoles } };
      }),
    );
    transport.serve(controllerCalls.fronts, () =>
      replyAsLeader(async () => {
        await this.#confirmed();
        return [...this.#fresh.fronts()];
      }),
    );
  }

  async #confirmed(): Promise<void> {
    if (this.#member === undefined) throw new TransportError('refused', 'not yet a member of the setup part');
    await this.#member.confirmLeadership();
  }

  #propose(id: string, command: ConfigurationCommand): Promise<ConfigurationReturn> {
    if (this.#member === undefined) throw new TransportError('refused', 'not yet a member of the setup part');
    return this.#member.propose(id, command);
  }

  #members(shard: string): readonly Address[] {
    const { membership, seeds } = this.#options;
    const told = membership.stateTable.get(ShardMap.groupKey(shard))?.value;
    const live = new Set<Address>(membership.live().map((nodeRecord) => nodeRecord.address));
    // Who is gone is asked last: each try there costs a silence.
    const liveFirst = (all: readonly Address[]): readonly Address[] => [
      ...all.filter((address) => live.has(address)),
      ...all.filter((address) => !live.has(address)),
    ];
    if (shard !== 'setup') return liveFirst(ShardMap.members(this.#table, shard, told));
    const members = ShardMap.readGroup(told).map((member) => member.identity.address);
    const controllers = membership.live().flatMap((nodeRecord) => (nodeRecord.role === 'controller' ? [nodeRecord.address] : []));
    return liveFirst([...new Set([...members, ...controllers, ...seeds])]);
  }

  /** After what this machine holds has changed, if it leads the setup shard. */
  #nudge(): void {
    this.#placementController.nudge();
    this.#keeper?.stepSoon();
  }

  #takeUpdate(key: string, value: unknown): void {
    if (key === ShardMap.key) {
      const table = ShardMap.read(value);
      if (table !== undefined && table.version > this.#table.version) this.#table = table;
    }
    if (key !== updateKeys.configuration) return;
    const read = v.safeParse(VersionedConfiguration, value);
    if (read.success && read.output.version > (this.#configuration?.version ?? 0)) this.#configuration = read.output;
  }

  /** The leader tells all what was committed. The board takes only what is newer. */
  #publish(): void {
    const { membership } = this.#options;
    if (this.#member?.isLeader !== true) return;
    const { version, configuration, singletonRoles } = this.#machine;
    if (configuration !== undefined && (this.#configuration?.version ?? 0) < version)
      membership.putChanged({
        key: updateKeys.configuration,
        version: [version, 0],
        volatile: false,
        value: { version, configuration: withoutSourceDocuments(configuration) },
      });
    const table = this.#machine.table();
    if (table.version > this.#table.version)
      membership.putChanged({ key: ShardMap.key, version: [table.version, 0], volatile: false, value: table });
    for (const [singletonRole, held] of Object.entries(singletonRoles)) {
      if (membership.stateTable.get(updateKeys.singletonRole(singletonRole))?.version[0] !== held.term)
        membership.put({ key: updateKeys.singletonRole(singletonRole), version: [held.term, 0], volatile: false, value: held });
    }
  }

  /** The leader founds each shard that the setup wants, once all that shall sit in it have said who they are. */
  async #found(): Promise<void> {
    const { transport, bounds, membership, counters } = this.#options;
    const member = this.#member;
    if (member?.isLeader !== true) return;
    announceGroup(membership, member);
    this.#publish();
    await this.#audit.sign();
    this.#placementController.nudge();
    const wanted = this.#machine.wanted();
    for (const shard of this.#machine.notBootstrapped()) {
      const addresses = (wanted.get(shard) ?? []).map((place) => place.address);
      const members = await initialGroup(transport, shard, addresses, bounds.failureTimeoutMs);
      if (members === undefined) continue;
      await this.#propose(`found/${shard}`, { kind: 'bootstrap', shard, members }).catch(() => counters.add('controller.notFounded'));
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
