import * as v from 'valibot';
import type { StateMachine, ShardMap } from '@pewterlanding/consensus';
import { GroupMember } from '@pewterlanding/consensus';
import { SingletonRole } from '@pewterlanding/agent';
import { Count, entriesOf, hashOf, PlanId, Configuration } from '@pewterlanding/model';
import type { Finding, NodeName } from '@pewterlanding/model';
import { AuditHead } from '../audit/auditHead.js';
import type { AuditLine } from '../audit/auditLine.js';
import { changedItems } from './changedItems.js';
import { changedConfiguration } from './changedConfiguration.js';
import type { ChangeOutcome } from './changeOutcome.js';
import { Confirmation } from './confirmation.js';
import { Plan } from './plan.js';
import type { PlanOutcome } from './planOutcome.js';
import { placedShards } from '../placement/placedShards.js';
import { Placement } from '../placement/placement.js';
import { CompletedPlans } from './completedPlans.js';
import type { ConfigurationChange } from './configurationChange.js';
import { ConfigurationCommand } from './configurationCommand.js';
import { ConfigurationReturn } from './configurationReturn.js';
import { configurationShardFormat1 } from './configurationShardFormat1.js';
import { AcceptedChanges } from './acceptedChanges.js';
import { wantedShards } from '../placement/wantedShards.js';

/** Plans that operators may still confirm; each holds a whole setup. */
const openPlans = 32;
/** Settled plans that can still be read whole. */
const readablePlans = 8;
/** Signed confirmations that the state holds itself; older ones stand in each controller's audit file. */
const keptConfirmations = 8;
/** Confirmations that wait for their signature; without a signer, the newest of them. */
const unsignedConfirmations = 200;
/** An outcome is remembered by every member: it must stay short. */
const maxFindings = 50;

const Digest = v.strictObject({
  version: Count,
  tableVersion: Count,
  configuration: v.optional(Configuration),
  plans: v.array(Plan),
  history: v.array(Confirmation),
  singletonRoles: v.record(v.string(), SingletonRole),
  bootstrapped: v.record(v.string(), v.array(GroupMember)),
  audit: AuditHead.schema,
  auditKeys: v.array(v.record(v.string(), v.unknown())),
  placement: v.optional(Placement, { version: 0, machines: {}, shards: {}, emptying: [] }),
});
const ConfigurationSnapshot = v.strictObject({ state: Digest, taken: AcceptedChanges.schema, settled: CompletedPlans.schema });

/** The shard that holds the setup: plans, confirmed versions, duties and where parts were founded. */
export class ConfigurationShard implements StateMachine<ConfigurationCommand, ConfigurationReturn> {
  /** Each command finds by its own content whether it had its effect: ids are kept only for the answers of the last few. */
  readonly rememberedCommands = 16;
  readonly #signed: (line: AuditLine) => void;
  readonly #taken = new AcceptedChanges();
  readonly #settled = new CompletedPlans();
  #state: v.InferOutput<typeof Digest> = {
    version: 0,
    tableVersion: 0,
    plans: [],
    history: [],
    singletonRoles: {},
    bootstrapped: {},
    audit: AuditHead.empty(),
    auditKeys: [],
    placement: { version: 0, machines: {}, shards: {}, emptying: [] },
  };

  /** `signed` is told each line of the audit trail, also those that a restart reads again. */
  constructor(signed: (line: AuditLine) => void = () => undefined) {
    this.#signed = signed;
  }

  get version(): number {
    return this.#state.version;
  }

  get configuration(): Configuration | undefined {
    return this.#state.configuration;
  }

  get history(): readonly Confirmation[] {
    return this.#state.history;
  }

  get singletonRoles(): Readonly<Record<string, SingletonRole>> {
    return this.#state.singletonRoles;
  }

  /** The end of the signed trail. */
  get auditHead(): AuditHead {
    return this.#state.audit;
  }

  /** The public keys that entries of the trail name. */
  get auditKeys(): readonly Record<string, unknown>[] {
    return this.#state.auditKeys;
  }

  plan(id: PlanId): Plan | undefined {
    return this.#state.plans.find((plan) => plan.id === id);
  }

  get placement(): Placement {
    return this.#state.placement;
  }

  get bootstrapped(): Readonly<Record<string, readonly GroupMember[]>> {
    return this.#state.bootstrapped;
  }

  /** Where every shard shall sit: as the setup lists its machines, or as those that joined were seated. */
  wanted(): ReturnType<typeof wantedShards> {
    const { configuration, placement } = this.#state;
    return configuration === undefined || configuration.joining ? placedShards(placement) : wantedShards(configuration);
  }

  /** What would become of a change now, and the setup it would put in force if it has yet to be taken. */
  judge({ basedOn, revision, hash, ...change }: ConfigurationChange): { readonly outcome: ChangeOutcome; readonly next?: Configuration } {
    const { configuration } = this.#state;
    const held = configuration?.revision ?? 0;
    const say = (outcome: ChangeOutcome['outcome'], inForce: number, findings: readonly Finding[] = []): ChangeOutcome => ({
      outcome,
      revision: inForce,
      findings: findings.slice(0, maxFindings).map((finding) => ({ ...finding })),
    });
    const known = this.#taken.find(revision, hash);
    if (known === 'same') return { outcome: say('taken', held) };
    // One number stands for one change. Below the one in force it is invalid besides, which says more.
    if (basedOn !== held || (known === 'other' && revision > held)) return { outcome: say('conflict', held) };
    const next = changedConfiguration({ basedOn, revision, hash, ...change }, configuration);
    return next.ok ? { outcome: say('taken', revision), next: next.value } : { outcome: say('invalid', held, next.findings) };
  }

  /** The shards that a setup wants but nobody has founded. */
  notBootstrapped(): readonly string[] {
    return [...this.wanted().keys()].filter((shard) => shard !== 'setup' && this.#state.bootstrapped[shard] === undefined);
  }

  table(): ShardMap {
    const { bootstrapped, tableVersion } = this.#state;
    const wanted = this.wanted();
    const rows = Object.entries(bootstrapped).map(
      ([shard, founding]) => [shard, { bootstrap: founding, wanted: wanted.get(shard) ?? [] }] as const,
    );
    return { version: tableVersion, shards: Object.fromEntries(rows) };
  }

  read(raw: unknown): ConfigurationCommand {
    return v.parse(ConfigurationCommand, configurationShardFormat1.command(raw));
  }

  readReturn(raw: unknown): ConfigurationReturn {
    return v.parse(ConfigurationReturn, configurationShardFormat1.result(raw));
  }

  snapshot(): unknown {
    return { state: structuredClone(this.#state), taken: this.#taken.snapshot(), settled: this.#settled.snapshot() };
  }

  restore(raw: unknown): void {
    const { state, taken, settled } = v.parse(ConfigurationSnapshot, configurationShardFormat1.snapshot(raw));
    this.#state = state;
    this.#taken.restore(taken);
    this.#settled.restore(settled);
    for (const line of state.audit.newest) this.#signed(line);
  }

  apply(command: ConfigurationCommand): ConfigurationReturn {
    switch (command.kind) {
      case 'plan':
        this.#propose(command.plan);
        return {};
      case 'confirm':
        return { outcome: this.#confirm(command.plan, command.acknowledged, command.atMs) };
      case 'set':
        return { change: this.#set(command.change, command.atMs) };
      case 'claimRole':
        return { singletonRole: this.#singletonRole(command.singletonRole, command.claim) };
      case 'audit':
        this.#audit(command);
        return {};
      case 'place':
        if (command.placement.version === this.#state.placement.version + 1) {
          this.#state.placement = command.placement;
          this.#state.tableVersion += 1;
        }
        return {};
      case 'empty':
        return { empty: this.#empty(command.name, command.away, command.minimum) };
      case 'bootstrap':
        // The first founding stands: a second one would make a second history of the same part.
        if (this.#state.bootstrapped[command.shard] === undefined) {
          this.#state.bootstrapped = { ...this.#state.bootstrapped, [command.shard]: command.members };
          this.#state.tableVersion += 1;
        }
        return {};
    }
  }

  #confirm(id: PlanId, acknowledged: boolean, atMs: number): PlanOutcome {
    const { version } = this.#state;
    const plan = this.plan(id);
    if (plan === undefined) return this.#settled.find(id) ?? { outcome: 'unknown', version };
    if (plan.outcome !== undefined) return plan.outcome;
    if (plan.base !== version || plan.next === undefined) return this.#settle(plan, { outcome: 'conflict', version });
    // Not an outcome yet: the operator may still acknowledge.
    if (!acknowledged && plan.effects.some((effect) => effect.needsAcknowledgement)) return { outcome: 'unacknowledged', version };
    const { next, differences } = plan;
    const outcome = this.#settle(plan, { outcome: 'confirmed', version: version + 1 });
    this.#putInForce(next, { version: version + 1, plan: id, atMs, differences });
    return outcome;
  }

  #propose(plan: Plan): void {
    if (this.plan(plan.id) !== undefined || this.#settled.find(plan.id) !== undefined) return;
    const { plans, version } = this.#state;
    const settled = plans.filter((one) => one.outcome !== undefined).slice(-readablePlans);
    const open = plans.filter((one) => one.outcome === undefined);
    this.#state.plans = [...settled, ...open, plan].slice(-(readablePlans + openPlans));
    if (plan.base !== version) this.#settle(plan, { outcome: 'conflict', version });
  }

  #audit({ version, entry, key }: Extract<ConfigurationCommand, { kind: 'audit' }>): void {
    const { audit, auditKeys, history } = this.#state;
    const confirmation = history.find((one) => one.version === version);
    if (version !== audit.entries + 1 || confirmation === undefined) return;
    const line = { confirmation, entry };
    this.#state.audit = AuditHead.with(audit, line);
    if (!auditKeys.some((known) => known['kid'] === key['kid'])) this.#state.auditKeys = [...auditKeys, key];
    this.#forgetSigned();
    this.#signed(line);
  }

  /** Of the signed confirmations only the newest stay; what waits for its signature stays until it has it. */
  #forgetSigned(): void {
    const { history, audit } = this.#state;
    const signed = history.filter((one) => one.version <= audit.entries).slice(-keptConfirmations);
    const unsigned = history.filter((one) => one.version > audit.entries).slice(-unsignedConfirmations);
    this.#state.history = [...signed, ...unsigned];
  }

  #empty(name: NodeName, away: readonly NodeName[], minimum: number): NonNullable<ConfigurationReturn['empty']> {
    const { machines, emptying, version } = this.#state.placement;
    if (machines[name]?.role !== 'store') return 'unknown';
    if (emptying.includes(name)) return 'started';
    const gone = [name, ...emptying, ...away];
    const staying = entriesOf(machines).filter(([other, { role }]) => role === 'store' && !gone.includes(other));
    if (staying.length < minimum) return 'too few';
    this.#state.placement = { ...this.#state.placement, version: version + 1, emptying: [...emptying, name] };
    return 'started';
  }

  /** A change is judged again where it is applied: another may have come between. */
  #set(change: ConfigurationChange, atMs: number): ChangeOutcome {
    const { outcome, next } = this.judge(change);
    if (next === undefined) return outcome;
    const { version, configuration } = this.#state;
    // The audit trail names each version's plan; this one was its own.
    const plan = v.parse(PlanId, `set_${change.revision}_${hashOf(change.hash).toString(16)}`);
    this.#putInForce(next, { version: version + 1, plan, atMs, differences: changedItems(configuration, next) });
    this.#taken.add(change.revision, change.hash);
    return outcome;
  }

  #putInForce(next: Configuration, confirmation: Confirmation): void {
    this.#state.version = confirmation.version;
    this.#state.tableVersion += 1;
    this.#state.configuration = next;
    this.#state.history = [...this.#state.history, confirmation];
    this.#forgetSigned();
    // What was planned on an older version can't be confirmed any more; its document need not wait for the operator.
    const conflict = { outcome: 'conflict' as const, version: confirmation.version };
    for (const plan of this.#state.plans) if (plan.outcome === undefined) this.#settle(plan, conflict);
  }

  #settle(plan: Plan, outcome: PlanOutcome): PlanOutcome {
    // Its document is not needed any more; its outcome is.
    plan.outcome = outcome;
    plan.next = undefined;
    this.#settled.add(plan.id, outcome);
    return outcome;
  }

  #singletonRole(singletonRole: string, claim: SingletonRole): SingletonRole {
    const held = this.#state.singletonRoles[singletonRole];
    if (held !== undefined && claim.term !== held.term + 1) return held;
    this.#state.singletonRoles = { ...this.#state.singletonRoles, [singletonRole]: claim };
    return claim;
  }
}
