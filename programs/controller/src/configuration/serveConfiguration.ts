import { replyAsLeader } from '@pewterlanding/consensus';
import { agentToControllerCalls } from '@pewterlanding/agent';
import type { Counters, Transport } from '@pewterlanding/runtime';
import { TransportError } from '@pewterlanding/runtime';
import type { PlanId } from '@pewterlanding/model';
import { configurationCalls } from './configurationCalls.js';
import type { ConfigurationCommand } from './configurationCommand.js';
import type { ConfigurationFreshness } from './configurationFreshness.js';
import type { ConfigurationReturn } from './configurationReturn.js';
import type { ConfigurationShard } from './configurationShard.js';
import { makePlan } from './makePlan.js';
import type { Plan } from './plan.js';
import type { PlanOutcome } from './planOutcome.js';
import type { Proposal } from './proposal.js';

interface ServeConfigurationOptions {
  readonly transport: Transport;
  readonly counters: Counters;
  readonly machine: ConfigurationShard;
  readonly freshness: ConfigurationFreshness;
  readonly wallMs: () => number;
  /** Resolves once this machine has confirmed that it leads, so that its state is the newest; rejects elsewhere. */
  readonly confirmed: () => Promise<void>;
  readonly propose: (id: string, command: ConfigurationCommand) => Promise<ConfigurationReturn>;
  /** How many items of batches wait, by quota. */
  readonly waiting: () => Promise<Readonly<Record<string, number>>>;
}

/** Serves plans, confirmations and reads of the configuration, and the versions that fronts report. */
export function serveConfiguration(options: ServeConfigurationOptions): void {
  servePlans(options);
  serveReads(options);
  serveFreshness(options);
}

function servePlans(options: ServeConfigurationOptions): void {
  const { transport, machine, confirmed } = options;
  transport.serve(configurationCalls.plan, ({ id, proposal }) => replyAsLeader(() => planned(options, id, proposal)));
  transport.serve(configurationCalls.readPlan, ({ plan }) =>
    replyAsLeader(async () => {
      await confirmed();
      return machine.plan(plan);
    }),
  );
  transport.serve(configurationCalls.confirm, ({ plan, acknowledged, atMs }) =>
    replyAsLeader(() => planConfirmed(options, plan, acknowledged, atMs)),
  );
}

function serveReads({ transport, machine, freshness, confirmed }: ServeConfigurationOptions): void {
  transport.serve(configurationCalls.configuration, () =>
    replyAsLeader(async () => {
      await confirmed();
      const { version, configuration, history, singletonRoles } = machine;
      return { version, configuration, history: [...history], singletonRoles: { ...singletonRoles } };
    }),
  );
  transport.serve(configurationCalls.fronts, () =>
    replyAsLeader(async () => {
      await confirmed();
      return [...freshness.fronts()];
    }),
  );
}

function serveFreshness({ transport, freshness }: ServeConfigurationOptions): void {
  transport.serve(agentToControllerCalls.held, async ({ front, version, clockReading }) => {
    freshness.report(front, version, clockReading);
    return {};
  });
  transport.serve(agentToControllerCalls.fresh, async ({ front, version, clockReading }) => {
    const response = await freshness.freshnessOf(front, version, clockReading);
    if (response === undefined) throw new TransportError('refused', 'this machine does not lead the configuration shard');
    return response;
  });
}

/** Makes a plan of a proposal, or returns the one that a request sent twice made before. */
async function planned(
  options: ServeConfigurationOptions,
  id: PlanId,
  proposal: Proposal,
): Promise<{ plan?: Plan; findings: { place: string; message: string }[] }> {
  const { machine, counters } = options;
  await options.confirmed();
  const { version, configuration } = machine;
  const known = machine.plan(id);
  if (known !== undefined) return { plan: known, findings: [] };
  const waiting = await options.waiting();
  const made = makePlan(proposal, { id, version, configuration, waiting, atMs: options.wallMs() });
  if (!made.ok) return { findings: [...made.findings] };
  await options.propose(`plan/${id}`, { kind: 'plan', plan: made.value });
  counters.add('controller.plans');
  return { plan: made.value, findings: [] };
}

async function planConfirmed(
  { propose, freshness }: ServeConfigurationOptions,
  plan: PlanId,
  acknowledged: boolean,
  atMs: number,
): Promise<{ outcome: PlanOutcome; inForce: boolean }> {
  const { outcome } = await propose(`confirm/${plan}/${acknowledged}/${atMs}`, { kind: 'confirm', plan, acknowledged, atMs });
  if (outcome === undefined) throw new TransportError('refused', 'no outcome');
  const inForce = outcome.outcome === 'confirmed' && freshness.inForce(outcome.version);
  return { outcome, inForce };
}
