#!/usr/bin/env node
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import meow from 'meow';
import { FindingsError } from '@pewterlanding/model';
import { errorLine, seededRandom } from '@pewterlanding/runtime';
import type { Finding } from '@pewterlanding/model';
import { mutations, runMutations } from './mutation/index.js';
import { digest } from './digest/index.js';
import { verdictLine } from './checkers/index.js';
import { hollow } from './hollow/index.js';
import { chaos, Fleet, fleetDay, readDeployment } from './fleet/index.js';
import { scale, slopes } from './measurements/index.js';
import { campaign, simDay, simScenario } from './runs/index.js';
import { faults } from './faults/index.js';
import { scenarios } from './scenarios/index.js';
import { simDeployments } from './simulation/index.js';

const cli = meow(
  `
  Usage
    $ pewtersim up FOLDER               a whole fleet with stand-in replicas, until interrupted
    $ pewtersim run FOLDER              the fleet under its traffic; figures and every checker's verdict
    $ pewtersim sim                     simulated days in virtual time, one for each seed
    $ pewtersim campaign                many simulated days over all deployments; counts by rule and by kind of trouble
    $ pewtersim scenario NAME           one failure brought about in virtual time, for each seed
    $ pewtersim digest                  fixed-seed histories, each as a digest that renaming fields and strings leaves as it is
    $ pewtersim guards [NAME,...]       takes guards out of a copy of the built tree: red without, green with
    $ pewtersim scale                   counts of messages against the number of fronts and of waiting items
    $ pewtersim slopes                  what a process of each role holds and works, each at five sizes (node --expose-gc)
    $ pewtersim hollow [N,...]          fleets of N nodes' control logic in three processes: what each size costs a node

  Options
    --data DIR      where logs and data of a real fleet go
    --seconds N     run: the quiet phase before the faults (10)
    --faults A,B    the faults in order; without them run has none and sim draws some
    --draw N        run: draws N faults by the seed instead
    --seed N        (1)
    --seeds N       sim, scenario: how many, from --seed on (1)
    --days N        campaign: how many days, each by its own seed, from --seed on (100)
    --deployment D  sim: the simulated deployment (listed)
    --beat MS       hollow: between beats (1000); a silence is four
    --announce MS   hollow: between a replica's announcements; 0 for once (0)
    --replicas N    hollow: of each front (6)
    --running N     hollow: replicas at which a front has tasks, others each beat (0)
    --controllers N      hollow: controller machines (3)
    --losses        hollow: also racks, zones, the tree's top and regions are lost
    --compare FILE  digest: a recorded list, to name the cases that differ
    --json          scenario: verdicts for programs
    --ci            guards: only those that CI runs
    --trace         sim, scenario: every change of state, with its virtual time

  Exit codes
    0 every rule was kept   1 a rule was broken, a fault did nothing, a guard was not shown, or a digest differs   2 usage
`,
  {
    importMeta: import.meta,
    flags: {
      data: { type: 'string' },
      seconds: { type: 'number', default: 10 },
      faults: { type: 'string' },
      draw: { type: 'number', default: 0 },
      seed: { type: 'number', default: 1 },
      seeds: { type: 'number', default: 1 },
      days: { type: 'number', default: 100 },
      deployment: { type: 'string', default: 'listed' },
      beat: { type: 'number', default: 1000 },
      announce: { type: 'number', default: 0 },
      replicas: { type: 'number', default: 6 },
      running: { type: 'number', default: 0 },
      controllers: { type: 'number', default: 3 },
      compare: { type: 'string' },
      losses: { type: 'boolean', default: false },
      json: { type: 'boolean', default: false },
      ci: { type: 'boolean', default: false },
      trace: { type: 'boolean', default: false },
    },
  },
);

const words = ['up', 'run', 'sim', 'campaign', 'scenario', 'digest', 'guards', 'scale', 'hollow', 'slopes'];
const { flags, input } = cli;
const [word = '', name] = input;
const data = flags.data ?? join(tmpdir(), `simulator-${process.pid}`);
const say = (line: string): void => console.log(line);
const trace = flags.trace ? { trace: say } : {};
const seeds = Array.from({ length: flags.seeds }, (_, step) => flags.seed + step);
const granted = flags.faults?.split(',').filter((one) => one !== '');

const sizes = word === 'hollow' ? (name?.split(',').map(Number) ?? [7, 20, 61, 120, 350]) : [];

function findings(): readonly Finding[] {
  const found: Finding[] = [];
  const known = Object.keys(word === 'sim' ? faults : chaos);
  if (!words.includes(word)) found.push({ place: 'command', message: `must be one of ${words.join(', ')}; see simulator --help` });
  if (['up', 'run'].includes(word) && name === undefined) found.push({ place: 'FOLDER', message: 'is needed' });
  if (!(flags.deployment in simDeployments))
    found.push({
      place: '--deployment',
      message: `no deployment ${flags.deployment}; there are ${Object.keys(simDeployments).join(', ')}`,
    });
  if (word === 'scenario' && (name === undefined || !(name in scenarios))) {
    found.push({ place: 'NAME', message: `no scenario ${name ?? ''}; there are ${Object.keys(scenarios).join(', ')}` });
  }
  for (const one of word === 'guards' ? (name?.split(',') ?? []) : []) {
    if (!mutations.some((mutation) => mutation.name === one))
      found.push({ place: 'NAME', message: `no guard ${one}; there are ${mutations.map((mutation) => mutation.name).join(', ')}` });
  }
  for (const one of granted ?? [])
    if (!known.includes(one)) found.push({ place: '--faults', message: `no fault ${one}; there are ${known.join(', ')}` });
  if (word === 'hollow' && sizes.some((size) => !Number.isInteger(size) || size < 7 || size > 400))
    found.push({ place: 'N', message: 'must be whole numbers from 7 to 400' });
  for (const key of ['seed', 'seeds', 'days', 'seconds', 'draw', 'beat', 'announce', 'replicas', 'running', 'controllers'] as const) {
    if (!Number.isInteger(flags[key]) || flags[key] < 0) found.push({ place: `--${key}`, message: 'must be a whole number from 0' });
  }
  return found;
}

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
  say(`fronts  ${fleet.fronts().join(' ')}\nhearts  ${fleet.controllers().join(',')}\nlogs    ${data}\nstop with Ctrl-C`);
  return stopped;
}

async function run(place: string): Promise<boolean> {
  // Large and long ones are asked for by name.
  const drawable = Object.keys(chaos).filter((one) => !['rollFleet', 'largeConfiguration', 'floodBatches', 'powerCut'].includes(one));
  const random = seededRandom(flags.seed ^ 0x5eed);
  const drawn = Array.from({ length: flags.draw }, () => drawable[Math.floor(random() * drawable.length)] ?? 'killFront');
  return fleetDay({ folder: place, data, seconds: flags.seconds, seed: flags.seed, faults: granted ?? drawn, say });
}

async function sim(): Promise<boolean> {
  let kept = true;
  for (const seed of seeds) {
    const day = await simDay({ seed, faults: granted, deployment: flags.deployment, ...trace });
    const told = Object.entries(day.told).map(([outcome, count]) => `${outcome} ${count}`);
    say(`seed ${seed}: ${day.faults.join(',')}; ${told.join(', ')}; ${day.events} events; ${day.violations.length} complaints`);
    if (day.unfinished > 0) say(`  ${day.unfinished} lots did not come to an end`);
    for (const violation of day.violations.slice(0, 20)) say(`  ${Math.round(violation.atMs)} ${violation.rule}: ${violation.what}`);
    kept &&= day.violations.length === 0 && day.unfinished === 0;
  }
  return kept;
}

async function scenario(which: string): Promise<boolean> {
  let kept = true;
  const all: { readonly seed: number; readonly rule: string; readonly judged: number; readonly broken: number }[] = [];
  for (const seed of seeds) {
    const { verdicts } = await simScenario(which, seed, flags.trace ? say : undefined);
    all.push(...verdicts.map(({ rule, judged, violations }) => ({ seed, rule, judged, broken: violations.length })));
    if (!flags.json) for (const verdict of verdicts) say(`seed ${seed}: ${verdictLine(verdict)}`);
    kept &&= verdicts.every(({ violations }) => violations.length === 0);
  }
  if (flags.json) say(JSON.stringify(all));
  return kept;
}

async function takeOut(): Promise<boolean> {
  const named = name?.split(',');
  const chosen = mutations.filter(
    (mutation) => (named === undefined || named.includes(mutation.name)) && (!flags.ci || mutation.ci === true),
  );
  const root = join(dirname(fileURLToPath(import.meta.url)), '../../../..');
  const outcomes = await runMutations(root, chosen, say);
  say(`${outcomes.filter((one) => one.held).length} of ${outcomes.length} guards hold`);
  return outcomes.every((one) => one.held);
}

const commands: Readonly<Record<string, () => Promise<boolean>>> = {
  up: () => up(name ?? ''),
  run: () => run(name ?? ''),
  sim,
  campaign: () => campaign({ days: flags.days, seed: flags.seed, say }),
  scenario: () => scenario(name ?? ''),
  digest: () => digest({ compare: flags.compare, say }),
  guards: takeOut,
  hollow: () =>
    hollow({
      sizes,
      seconds: flags.seconds,
      losses: flags.losses,
      controllers: flags.controllers,
      heartbeatMs: flags.beat,
      failureTimeoutMs: flags.beat * 4,
      replicas: flags.replicas,
      announceMs: flags.announce,
      running: flags.running,
      say,
    }),
  slopes: () => slopes(say).then(() => true),
  scale: () => scale(flags.seed, say).then(() => true),
};

try {
  const found = findings();
  if (found.length > 0) throw new FindingsError(found);
  const kept = (await commands[word]?.()) ?? false;
  process.exit(kept ? 0 : 1);
} catch (error) {
  if (error instanceof FindingsError)
    for (const finding of error.findings) console.error(`simulator: ${finding.place}: ${finding.message}`);
  else console.error(`simulator: ${errorLine(error)}`);
  process.exit(2);
}
