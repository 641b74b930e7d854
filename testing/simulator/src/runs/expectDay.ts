import { SimulationError } from '../errors/index.js';
import { simDay } from './simDay.js';

/** Rules that only some days have anything to say about. */
const sometimes = new Set([
  'a replica gets tasks after its end was known',
  'a confirmed setup is ignored, or an old one returns',
  "a branch's waiting work overruns its share",
  'an accepted batch item waits too long for its start',
]);

/** Runs a day and throws with its violations, its seed and its faults, so that the failure replays exactly. */
export async function expectDay(seed: number, faults?: readonly string[], deployment?: string): Promise<void> {
  const day = await simDay({ seed, faults, deployment });
  const returned = day.told['returned'] ?? 0;
  if (returned === 0) throw new SimulationError(`seed ${seed}: nothing was returned, so nothing was shown`);
  const unjudged = day.verdicts.filter(({ rule, judged }) => judged === 0 && !sometimes.has(rule));
  if (unjudged.length > 0) throw new SimulationError(`seed ${seed}: not judged: ${unjudged.map(({ rule }) => rule).join('; ')}`);
  if (day.unfinished > 0)
    throw new SimulationError(`seed ${seed}, faults ${day.faults.join(',')}: ${day.unfinished} lots never came to an end`);
  if (day.violations.length === 0) return;
  const lines = day.violations.slice(0, 10).map((violation) => `${Math.round(violation.atMs)} ${violation.rule}: ${violation.what}`);
  throw new SimulationError(`seed ${seed}, faults ${day.faults.join(',')}: ${day.violations.length} complaints\n${lines.join('\n')}`);
}
