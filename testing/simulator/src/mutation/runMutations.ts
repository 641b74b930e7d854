import { spawn } from 'node:child_process';
import { availableParallelism } from 'node:os';
import { join } from 'node:path';
import * as v from 'valibot';
import { errorLine } from '@pewterlanding/runtime';
import { HarnessError } from '../errors/index.js';
import type { Mutation } from './mutation.js';
import { ScratchTree } from './scratchTree.js';

const Verdicts = v.array(v.object({ seed: v.number(), rule: v.string(), judged: v.number(), broken: v.number() }));
type Verdicts = v.InferOutput<typeof Verdicts>;

interface Outcome {
  readonly mutation: Mutation;
  /** Seeds under which the rule was broken with the safeguard removed, and those of them that the untouched tree kept, having judged it. */
  readonly red: readonly number[];
  readonly green: readonly number[];
  readonly detected: boolean;
}

/** Runs a scenario as a process of its own, in a tree. */
async function verdictsOf(tree: string, scenario: string, seeds: readonly number[]): Promise<Verdicts> {
  const all: Verdicts = [];
  for (const seed of seeds) {
    const main = join(tree, 'testing/simulator/dist/src/main.js');
    const child = spawn(process.execPath, [main, 'scenario', scenario, '--seed', String(seed), '--json'], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let text = '';
    let wrong = '';
    child.stdout.on('data', (chunk: Buffer) => (text += chunk.toString()));
    child.stderr.on('data', (chunk: Buffer) => (wrong += chunk.toString()));
    const code = await new Promise<number>((resolve) => child.once('close', (ended) => resolve(ended ?? -1)));
    const read = v.safeParse(v.pipe(v.string(), v.parseJson(), Verdicts), text);
    if (!read.success) throw new HarnessError(`${scenario} under seed ${seed} ended with ${code}: ${wrong.slice(0, 500)}`);
    all.push(...read.output);
  }
  return all;
}

/** Runs a test file as a process of its own, in a tree: broken where a drawn case or an expectation fails; no verdict on other failures. */
async function propertyVerdicts(tree: string, file: string, rule: string, seeds: readonly number[]): Promise<Verdicts> {
  const all: Verdicts = [];
  for (const seed of seeds) {
    const child = spawn(process.execPath, ['--test', '--test-reporter', 'tap', join(tree, file)], {
      stdio: ['ignore', 'pipe', 'ignore'],
      env: { ...process.env, PROPERTY_SEED: String(seed), NODE_TEST_CONTEXT: undefined },
    });
    let text = '';
    child.stdout.on('data', (chunk: Buffer) => (text += chunk.toString()));
    const code = await new Promise<number>((resolve) => child.once('close', (ended) => resolve(ended ?? -1)));
    const broken = text.includes('Property failed after') || text.includes("name: 'AssertionError'");
    if (code !== 0 && !broken) throw new HarnessError(`${file} under seed ${seed} ended with ${code}: ${text.slice(0, 500)}`);
    all.push({ seed, rule, judged: 1, broken: broken ? 1 : 0 });
  }
  return all;
}

function verdictsIn(tree: string, { scenario, rule, seeds }: Mutation): Promise<Verdicts> {
  return scenario.endsWith('.test.js') ? propertyVerdicts(tree, scenario, rule, seeds) : verdictsOf(tree, scenario, seeds);
}

/** Takes each safeguard out in a copy of the built tree and runs its scenario: red without it, green with it, under the same seeds. */
export async function runMutations(
  root: string,
  mutations: readonly Mutation[],
  print: (line: string) => void,
): Promise<readonly Outcome[]> {
  const outcomes: Outcome[] = [];
  const queue = [...mutations];
  const work = async (): Promise<void> => {
    for (let mutation = queue.shift(); mutation !== undefined; mutation = queue.shift()) {
      const outcome = await runOne(root, mutation).catch((error: unknown) => {
        // A run that comes to no verdicts shows nothing.
        print(`${mutation.name}: ${errorLine(error)}`);
        return { mutation, red: [], green: [], detected: false };
      });
      outcomes.push(outcome);
      const { red, green, detected } = outcome;
      print(`${detected ? 'holds    ' : 'NOT SHOWN'} ${mutation.name}: red ${named(red)}, green ${named(green)} (${mutation.scenario})`);
    }
  };
  await Promise.all(Array.from({ length: Math.max(1, Math.min(6, availableParallelism() - 1)) }, work));
  return outcomes;
}

const named = (seeds: readonly number[]): string => seeds.join(',') || 'never';

async function runOne(root: string, mutation: Mutation): Promise<Outcome> {
  const tree = await ScratchTree.copy(root);
  try {
    await tree.apply(mutation);
    const without = await verdictsIn(tree.folder, mutation);
    const within = await verdictsIn(root, mutation);
    const red = without.filter((one) => one.rule === mutation.rule && one.broken > 0).map((one) => one.seed);
    const green = within.filter((one) => one.rule === mutation.rule && one.broken === 0 && one.judged > 0).map((one) => one.seed);
    // Every named seed is green with the safeguard in; every one is red without it.
    return { mutation, red, green, detected: red.length === mutation.seeds.length && green.length === mutation.seeds.length };
  } finally {
    await tree.remove();
  }
}
