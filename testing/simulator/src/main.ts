#!/usr/bin/env node
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as v from 'valibot';
import { FindingsError } from '@pewterlanding/model';
import { errorLine, seededRandom } from '@pewterlanding/runtime';
import { mutations, runMutations } from './mutation/index.js';
import { CommandName, commandLineFindings, listOf, parseCommandLine } from './cli/index.js';
import { digest } from './digest/index.js';
import { verdictLine } from './checkers/index.js';
import { fleetFaults, Fleet, fleetDay, readDeployment } from './fleet/index.js';
import { campaign, simDay, simScenario } from './runs/index.js';
import { compareSelection } from './selection/index.js';
import { soakDay } from './soak/index.js';

const line = parseCommandLine(process.argv.slice(2));
if (line.notice !== undefined) console.error(`pewtersim: ${line.notice}`);
const { argument, flags } = line;
const data = flags.data ?? join(tmpdir(), `simulator-${process.pid}`);
const print = (text: string): void => console.log(text);
const trace = flags.trace ? { trace: print } : {};
const seeds = Array.from({ length: flags.seeds }, (_, step) => flags.seed + step);
const namedFaults = listOf(flags.faults);

async function up(place: string): Promise<boolean> {
  const read = await readDeployment(place);
  const fleet = new Fleet({ ...read, folder: data, random: Math.random, ran: () => undefined });
  const stopped = new Promise<boolean>((resolve) => {
    const stop = (): void => void fleet.stop().then((rude) => resolve(rude.length === 0));
    process.once('SIGINT', stop);
    process.once('SIGTERM', stop);
  });
  await fleet.start();
  await fleet.confirm({ whole: read.configuration }, true);
  await fleet.open();
  print(`fronts       ${fleet.fronts().join(' ')}\ncontrollers  ${fleet.controllers().join(',')}\nlogs         ${data}\nstop with Ctrl-C`);
  return stopped;
}

async function run(place: string): Promise<boolean> {
  // Large and long ones are asked for by name.
  const drawable = Object.keys(fleetFaults).filter((one) => !['rollFleet', 'largeConfiguration', 'floodBatches', 'powerCut'].includes(one));
  const random = seededRandom(flags.seed ^ 0x5eed);
  const drawn = Array.from({ length: flags.draw }, () => drawable[Math.floor(random() * drawable.length)] ?? 'killFront');
  return fleetDay({ folder: place, data, seconds: flags.seconds, seed: flags.seed, faults: namedFaults ?? drawn, print });
}

async function sim(): Promise<boolean> {
  let kept = true;
  for (const seed of seeds) {
    const day = await simDay({ seed, faults: namedFaults, deployment: flags.deployment, ...trace });
    const told = Object.entries(day.told).map(([outcome, count]) => `${outcome} ${count}`);
    print(`seed ${seed}: ${day.faults.join(',')}; ${told.join(', ')}; ${day.events} events; ${day.violations.length} violations`);
    if (day.unfinished > 0) print(`  ${day.unfinished} lots did not come to an end`);
    for (const violation of day.violations.slice(0, 20)) print(`  ${Math.round(violation.atMs)} ${violation.rule}: ${violation.what}`);
    kept &&= day.violations.length === 0 && day.unfinished === 0;
  }
  return kept;
}

async function scenario(which: string): Promise<boolean> {
  let kept = true;
  const all: { readonly seed: number; readonly rule: string; readonly judged: number; readonly broken: number }[] = [];
  for (const seed of seeds) {
    const { verdicts } = await simScenario(which, seed, flags.trace ? print : undefined);
    all.push(...verdicts.map(({ rule, judged, violations }) => ({ seed, rule, judged, broken: violations.length })));
    if (!flags.json) for (const verdict of verdicts) print(`seed ${seed}: ${verdictLine(verdict)}`);
    kept &&= verdicts.every(({ violations }) => violations.length === 0);
  }
  if (flags.json) print(JSON.stringify(all));
  return kept;
}

async function soak(place: string): Promise<boolean> {
  let kept = true;
  for (const seed of seeds) {
    const { findings, requests, events } = await soakDay({ deployment: place, data, seed, proxies: 4, clients: 60, series: 3, events: 5 });
    print(`seed ${seed}: ${requests} requests; ${events.join('; ')}; ${findings.length} findings`);
    for (const { rule, what } of findings.slice(0, 20)) print(`  ${rule}: ${what}`);
    kept &&= findings.length === 0;
  }
  return kept;
}

async function runMutationCommand(): Promise<boolean> {
  const named = listOf(argument);
  const chosen = mutations.filter(
    (mutation) => (named === undefined || named.includes(mutation.name)) && (!flags.ci || mutation.ci === true),
  );
  const root = join(dirname(fileURLToPath(import.meta.url)), '../../../..');
  const outcomes = await runMutations(root, chosen, print);
  print(`${outcomes.filter((one) => one.detected).length} of ${outcomes.length} mutations were detected`);
  return outcomes.every((one) => one.detected);
}

const commands: Readonly<Record<CommandName, () => Promise<boolean>>> = {
  up: () => up(argument ?? ''),
  run: () => run(argument ?? ''),
  sim,
  campaign: () => campaign({ days: flags.days, seed: flags.seed, print }),
  scenario: () => scenario(argument ?? ''),
  digest: () => digest({ compare: flags.compare, print }),
  mutations: runMutationCommand,
  soak: () => soak(argument ?? ''),
  selection: () => compareSelection({ seed: flags.seed, seeds: flags.seeds, print }),
};

try {
  const found = commandLineFindings(line);
  if (found.length > 0) throw new FindingsError(found);
  const kept = await commands[v.parse(CommandName, line.command)]();
  process.exit(kept ? 0 : 1);
} catch (error) {
  if (error instanceof FindingsError)
    for (const finding of error.findings) console.error(`pewtersim: ${finding.place}: ${finding.message}`);
  else console.error(`pewtersim: ${errorLine(error)}`);
  process.exit(2);
}
