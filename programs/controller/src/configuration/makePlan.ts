import { configurationFormat1, mergePatch, readConfiguration, renameFields } from '@pewterlanding/model';
import type { Checked, Configuration, PlanId } from '@pewterlanding/model';
import { differencesOf } from './differencesOf.js';
import type { Plan } from './plan.js';
import type { Proposal } from './proposal.js';
import { configurationEffects } from './configurationEffects.js';
import { configurationFindings } from './configurationFindings.js';

interface Ground {
  readonly id: PlanId;
  readonly version: number;
  readonly configuration: Configuration | undefined;
  readonly waiting: Readonly<Record<string, number>>;
  readonly atMs: number;
}

/** Turns a proposal into a plan on the setup in force, or into all its findings. */
export function makePlan(proposal: Proposal, ground: Ground): Checked<Plan> {
  const document =
    'whole' in proposal ? proposal.whole : mergePatch(ground.configuration ?? {}, renameFields(proposal.part, configurationFormat1));
  const read = readConfiguration(document);
  if (!read.ok) return read;
  const next = read.value;
  const findings = configurationFindings(next, ground.configuration);
  if (findings.length > 0) return { ok: false, findings };
  const differences = differencesOf(ground.configuration ?? {}, next);
  const effects = [...configurationEffects(next, ground.configuration, ground.waiting)];
  return { ok: true, value: { id: ground.id, base: ground.version, madeMs: ground.atMs, differences, effects, next } };
}
