import * as v from 'valibot';
import type { GroupMember, StateMachine, ShardMap } from '@pewterlanding/consensus';
import type { SingletonRole } from '@pewterlanding/agent';
import { hashOf, PlanId } from '@pewterlanding/model';
import type { Configuration } from '@pewterlanding/model';
import type { AuditCommand } from '../audit/auditCommand.js';
import type { AuditHead } from '../audit/auditHead.js';
import type { AuditLine } from '../audit/auditLine.js';
import type { Confirmation } from '../audit/confirmation.js';
import type { Placement } from '../placement/placement.js';
import { AcceptedChanges } from './acceptedChanges.js';
import { changedItems } from './changedItems.js';
import type { ChangeOutcome } from './changeOutcome.js';
import { ChangeRegister } from './changeRegister.js';
import { CompletedPlans } from './completedPlans.js';
import type { ConfigurationChange } from './configurationChange.js';
import { ConfigurationCommand } from './configurationCommand.js';
import { ConfigurationReturn } from './configurationReturn.js';
import { configurationShardFormat1 } from './configurationShardFormat1.js';
import { ConfigurationState } from './configurationState.js';
import type { Plan } from './plan.js';
import type { PlanOutcome } from './planOutcome.js';
import { PlanRegister } from './planRegister.js';
import { shardTable } from './shardTable.js';
import { signedHistory } from './signedHistory.js';

/** As it is stored: `taken` are the accepted changes, `settled` the completed plans. */
const ConfigurationSnapshot = v.strictObject({
  state: ConfigurationState.schema,
  taken: AcceptedChanges.schema,
  settled: CompletedPlans.schema,
});

/** The replicated state machine of the configuration: plans, confirmed versions, singleton roles and the members of shards. */
export class ConfigurationShard implements StateMachine<ConfigurationCommand, ConfigurationReturn> {
  /** Each command finds by its own content whether it had its effect: ids are kept only for the answers of the last few. */
  readonly rememberedCommands = 16;
  readonly #signed: (line: AuditLine) => void;
  readonly #changes = new ChangeRegister();
  readonly #plans = new PlanRegister();
  #state = ConfigurationState.empty();

  /** `signed` receives each line of the audit trail, also those that a restart reads again. */
  constructor(signed: (line: AuditLine) => void = () => undefined) {
    this.#signed = signed;
  }

  /** The version in force; 0 before the first configuration. */
  get version(): number {
    return this.#state.version;
  }

  get configuration(): Configuration | undefined {
    return this.#state.configuration;
  }

  /** The newest confirmations, oldest first; older ones are in the audit files. */
  get history(): readonly Confirmation[] {
    return this.#state.history;
  }

  /** Holders of singleton roles by the role's name. */
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
    return this.#plans.find(this.#state, id);
  }

  get placement(): Placement {
    return this.#state.placement;
  }

  /** The first members of each shard that has any. */
  get bootstrapped(): Readonly<Record<string, readonly GroupMember[]>> {
    return this.#state.bootstrapped;
  }

  /** The members that every shard should have. */
  wanted(): ReturnType<typeof shardTable.wanted> {
    return shardTable.wanted(this.#state);
  }

  /** What would become of a change now, and the configuration that it would put in force if it is still to be applied. */
  judge(change: ConfigurationChange): ReturnType<ChangeRegister['judge']> {
    return this.#changes.judge(change, this.#state.configuration);
  }

  /** The shards that the configuration wants but that have no first members yet. */
  notBootstrapped(): readonly string[] {
    return shardTable.notBootstrapped(this.#state);
  }

  table(): ShardMap {
    return shardTable.table(this.#state);
  }

  read(raw: unknown): ConfigurationCommand {
    return v.parse(ConfigurationCommand, configurationShardFormat1.command(raw));
  }

  readReturn(raw: unknown): ConfigurationReturn {
    return v.parse(ConfigurationReturn, configurationShardFormat1.result(raw));
  }

  snapshot(): unknown {
    return { state: structuredClone(this.#state), taken: this.#changes.snapshot(), settled: this.#plans.snapshot() };
  }

  restore(raw: unknown): void {
    const { state, taken, settled } = v.parse(ConfigurationSnapshot, configurationShardFormat1.snapshot(raw));
    this.#state = state;
    this.#changes.restore(taken);
    this.#plans.restore(settled);
    for (const line of state.audit.newest) this.#signed(line);
  }

  apply(command: ConfigurationCommand): ConfigurationReturn {
    switch (command.kind) {
      case 'plan':
        this.#plans.add(this.#state, command.plan);
        return {};
      case 'confirm':
        return { outcome: this.#confirm(command.plan, command.acknowledged, command.atMs) };
      case 'set':
        return { change: this.#set(command.change, command.atMs) };
      case 'claimRole':
        return { singletonRole: this.#claimRole(command.singletonRole, command.claim) };
      case 'audit':
        this.#sign(command);
        return {};
      case 'place':
        shardTable.place(this.#state, command.placement);
        return {};
      case 'empty':
        return { empty: shardTable.empty(this.#state, command.name, command.away, command.minimum) };
      case 'bootstrap':
        shardTable.bootstrap(this.#state, command.shard, command.members);
        return {};
    }
  }

  #confirm(id: PlanId, acknowledged: boolean, atMs: number): PlanOutcome {
    const { outcome, accepted } = this.#plans.confirm(this.#state, id, acknowledged);
    if (accepted === undefined) return outcome;
    this.#putInForce(accepted.next, { version: outcome.version, plan: id, atMs, differences: accepted.differences });
    return outcome;
  }

  /** Judges the change again where it is applied: another may have been applied since the leader judged it. */
  #set(change: ConfigurationChange, atMs: number): ChangeOutcome {
    const { outcome, next } = this.judge(change);
    if (next === undefined) return outcome;
    const { version, configuration } = this.#state;
    // The audit trail names each version's plan; this change stands for its own.
    const plan = v.parse(PlanId, `set_${change.revision}_${hashOf(change.hash).toString(16)}`);
    this.#putInForce(next, { version: version + 1, plan, atMs, differences: changedItems(configuration, next) });
    this.#changes.add(change);
    return outcome;
  }

  #sign(command: AuditCommand): void {
    const line = signedHistory.sign(this.#state, command);
    if (line !== undefined) this.#signed(line);
  }

  #putInForce(next: Configuration, confirmation: Confirmation): void {
    this.#state.version = confirmation.version;
    this.#state.tableVersion += 1;
    this.#state.configuration = next;
    this.#state.history = [...this.#state.history, confirmation];
    signedHistory.trim(this.#state);
    this.#plans.completeOpen(this.#state);
  }

  /** The first claim of a role stands, and each later one that raises its term by one. Returns the holder. */
  #claimRole(name: string, claim: SingletonRole): SingletonRole {
    const current = this.#state.singletonRoles[name];
    if (current !== undefined && claim.term !== current.term + 1) return current;
    this.#state.singletonRoles = { ...this.#state.singletonRoles, [name]: claim };
    return claim;
  }
}
