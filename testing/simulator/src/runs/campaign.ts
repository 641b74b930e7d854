import { errorLine } from '@pewterlanding/runtime';
import { simDay } from './simDay.js';
import { simDeployments } from '../simulation/index.js';

interface CampaignOptions {
  readonly days: number;
  /** The seed of the first day; each day has its own. */
  readonly seed: number;
  readonly print: (line: string) => void;
}

/** How often something was seen, and in how many of these cases it went wrong. */
class Tally {
  readonly #counts = new Map<string, { seen: number; wrong: number }>();

  add(name: string, seen: number, wrong: number): void {
    const count = this.#counts.get(name) ?? { seen: 0, wrong: 0 };
    this.#counts.set(name, { seen: count.seen + seen, wrong: count.wrong + wrong });
  }

  lines(seenLabel: string, wrongLabel: string): readonly string[] {
    const ordered = [...this.#counts].sort(([a], [b]) => (a < b ? -1 : 1));
    return ordered.map(([name, { seen, wrong }]) => `  ${name}: ${seenLabel} ${seen}${wrong > 0 ? `, ${wrongLabel} ${wrong}` : ''}`);
  }
}

/** Plays many days, each on the next of the deployments, and says what was judged by rule and by kind. True when no day broke a rule. */
export async function campaign({ days, seed: first, print }: CampaignOptions): Promise<boolean> {
  const names = Object.keys(simDeployments);
  const rules = new Tally();
  const kinds = new Tally();
  const deployments = new Tally();
  let broken = 0;
  for (let seed = first; seed < first + days; seed += 1) {
    const deployment = names[seed % names.length] ?? 'listed';
    const wrongs: string[] = [];
    let played: readonly string[] = [];
    try {
      const day = await simDay({ seed, deployment });
      played = day.faults;
      for (const { rule, judged, violations } of day.verdicts) rules.add(rule, judged, violations.length);
      if (day.unfinished > 0) wrongs.push(`${day.unfinished} lots did not come to an end`);
      wrongs.push(...day.violations.slice(0, 5).map(({ atMs, rule, what }) => `${Math.round(atMs)} ${rule}: ${what}`));
    } catch (error) {
      wrongs.push(errorLine(error));
    }
    const wrong = wrongs.length > 0 ? 1 : 0;
    broken += wrong;
    deployments.add(deployment, 1, wrong);
    for (const kind of played) kinds.add(kind, 1, wrong);
    if (wrong === 0) continue;
    print(`seed ${seed} on ${deployment}: ${played.join(', ')}`);
    for (const line of wrongs) print(`  ${line}`);
    print(`  replay: pewtersim sim --seed ${seed} --deployment ${deployment} --trace`);
  }
  print(`${days} days, ${broken} with a rule broken`);
  for (const line of deployments.lines('days', 'broken')) print(line);
  print('by rule');
  for (const line of rules.lines('judged', 'broken')) print(line);
  print('by kind of fault');
  for (const line of kinds.lines('played', 'on a broken day')) print(line);
  return broken === 0;
}
