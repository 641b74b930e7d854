import { drawnWorkload } from './drawnWorkload.js';
import { SelectionModel } from './selectionModel.js';
import type { SelectionOutcome } from './selectionOutcome.js';
import type { SelectionWorkload } from './selectionWorkload.js';
import { selectionWorkloads } from './selectionWorkloads.js';

interface CompareSelectionOptions {
  readonly seed: number;
  readonly seeds: number;
  readonly print: (line: string) => void;
}

/** The rules that a run can go without. */
const variants: readonly (readonly [name: string, change: Partial<SelectionWorkload>])[] = [
  ['as shipped', {}],
  ['no room for fluctuations', { isStaffed: false }],
  ['idle connections not preferred', { knowsConnections: false }],
  ['neither', { isStaffed: false, knowsConnections: false }],
];

/** Plays the model's deployments, and one drawn by each seed, with and without the rules of selection; prints a line for each run. */
export async function compareSelection({ seed, seeds, print }: CompareSelectionOptions): Promise<boolean> {
  const all = Array.from({ length: seeds }, (_, index) => seed + index);
  for (const [name, workload] of Object.entries(selectionWorkloads))
    for (const one of all) await compare(`${name}, seed ${one}`, { ...workload, seed: one }, print);
  for (const one of all) await compare(`drawn by seed ${one}`, drawnWorkload(one), print);
  return true;
}

async function compare(title: string, workload: SelectionWorkload, print: (line: string) => void): Promise<void> {
  print(`${title}: ${workload.fronts} fronts, ${workload.replicas} replicas of ${workload.slotsOfReplica} slots`);
  for (const [name, change] of variants) print(`  ${name}: ${lineOf(await new SelectionModel({ ...workload, ...change }).run())}`);
}

function lineOf(outcome: SelectionOutcome): string {
  const { live, liveLate, liveRefused, liveP99Ms, documents, documentsLate, items, itemsLate, connectionsOpened } = outcome;
  return [
    `live ${liveLate} late and ${liveRefused} refused of ${live} (p99 ${liveP99Ms} ms)`,
    `with documents ${documentsLate} late of ${documents}`,
    `items ${itemsLate} late of ${items}`,
    `${connectionsOpened} connections opened`,
  ].join(', ');
}
