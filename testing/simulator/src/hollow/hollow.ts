import { freeNet } from '../fleet/index.js';
import { HollowFleet } from './hollowFleet.js';
import { hollowLosses } from './hollowLosses.js';
import type { HollowOptions } from './hollowOptions.js';
import { hollowRates } from './hollowRates.js';
import { monotonicMs } from './monotonicMs.js';
import { spanOf } from './spanOf.js';

interface HollowRun extends Omit<HollowOptions, 'size' | 'net' | 'folder'> {
  readonly sizes: readonly number[];
  readonly seconds: number;
  readonly losses: boolean;
  readonly say: (line: string) => void;
}

const probes = 5;

/** Fleets of nodes with all their control logic and nobody to serve, over real sockets: what each size costs a node. */
export async function hollow(run: HollowRun): Promise<boolean> {
  const { sizes, seconds, losses, say, ...rest } = run;
  let kept = true;
  for (const size of sizes) {
    const fleet = await HollowFleet.begin({ ...rest, size, net: await freeNet(60) });
    try {
      kept = (await measure(fleet, run, (line) => say(`${size} nodes: ${line}`))) && kept;
    } finally {
      await fleet.end();
    }
  }
  return kept;
}

async function measure(fleet: HollowFleet, run: HollowRun, say: (line: string) => void): Promise<boolean> {
  const { seconds, losses, failureTimeoutMs, announceMs, running } = run;
  const patienceMs = failureTimeoutMs * 30;
  // While replicas are told anew all the time, no two boards are equal.
  const equal = announceMs === 0;
  const together = await fleet.agree(fleet.begunMs, patienceMs, equal);
  const begun = await fleet.meters();
  const cpuMs = begun.reduce((sum, word) => sum + (word.cpuMs ?? 0), 0) / fleet.places.length;
  say(`all know all after ${spanOf([together])}, ${cpuMs.toFixed(0)} ms of processor a node`);
  if (together === undefined) {
    const views = await fleet.views();
    const spread = (of: (view: (typeof views)[number]) => number): string => {
      const all = [...new Set(views.map(of))].sort((a, b) => a - b);
      return `${all.length} (${all[0] ?? 0} to ${all.at(-1) ?? 0})`;
    };
    say(`numbers of nodes held to be here ${spread((view) => view.live)}, of keys ${spread((view) => view.keys)}`);
    for (const line of hollowRates(fleet.places, [], begun, monotonicMs() - fleet.begunMs)) say(line);
    return false;
  }
  const first = await fleet.confirm(100, patienceMs);
  say(`first setup in force after ${spanOf([first.inForceMs])}`);
  await pass(failureTimeoutMs * 2);
  const before = await fleet.meters();
  const fromMs = monotonicMs();
  await pass(seconds * 1000);
  const after = await fleet.meters();
  for (const line of hollowRates(fleet.places, before, after, monotonicMs() - fromMs)) say(line);
  const fronts = fleet.names((place) => place.role === 'agent');
  const heard: (number | undefined)[] = [];
  for (let probe = 0; probe < probes; probe += 1) {
    const front = fronts[(probe * 37) % fronts.length];
    if (front !== undefined) heard.push(await fleet.spread(front, `probe/${probe}`, patienceMs));
  }
  say(`a word of a front is everywhere after ${spanOf(heard)}`);
  const configurations: { readonly inForceMs: number; readonly heardMs: number | undefined }[] = [];
  for (let probe = 0; probe < probes; probe += 1) configurations.push(await fleet.confirm(101 + probe, patienceMs));
  const heardMs = spanOf(configurations.map((one) => one.heardMs));
  say(`a setup is everywhere after ${heardMs}, in force after ${spanOf(configurations.map((one) => one.inForceMs))}`);
  return losses ? hollowLosses(fleet, patienceMs, equal && running === 0, say) : true;
}

async function pass(waitMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, waitMs));
}
