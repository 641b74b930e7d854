import { configurationFormat1, mergePatch, readConfiguration, renameFields } from '@pewterlanding/model';
import type { Checked, Configuration, PlanId } from '@pewterlanding/model';
import { differencesOf } from './differencesOf.js';
import type { Plan } from './plan.js';
import type { Proposal } from './proposal.js';
import { configurationEffects } from './configurationEffects.js';
import { configurationFindings } from './configurationFindings.js';

interface PlanContext {
  /** The plan's own id. */
  readonly id: PlanId;
  readonly version: number;
  readonly configuration: Configuration | undefined;
  /** How many items of batches wait, by quota. */
  readonly waiting: Readonly<Record<string, number>>;
  readonly atMs: number;
}

/** Turns a proposal into a plan on the configuration in force, or into all its findings. */
export function makePlan(proposal: Proposal, context: PlanContext): Checked<Plan> {
  const document =
    'whole' in proposal ? proposal.whole : mergePatch(context.configuration ?? {}, renameFields(proposal.part, configurationFormat1));
  const read = readConfiguration(document);
  if (!read.ok) return read;
  const next = read.value;
  const findings = configurationFindings(next, context.configuration);
  if (findings.length > 0) return { ok: false, findings };
  const differences = differencesOf(context.configuration ?? {}, next);
  const effects = [...configurationEffects(next, context.configuration, context.waiting)];
  return { ok: true, value: { id: context.id, base: context.version, madeMs: context.atMs, differences, effects, next } };
}
