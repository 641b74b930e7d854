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
  readonly print: (line: string) => void;
}

const probes = 5;

/** Fleets of nodes with all their control logic and nobody to serve, over real sockets: what each size costs a node. */
export async function hollow(run: HollowRun): Promise<boolean> {
  const { sizes, seconds, losses, print, ...rest } = run;
  let kept = true;
  for (const size of sizes) {
    const fleet = await HollowFleet.begin({ ...rest, size, net: await freeNet(60) });
    try {
      kept = (await measure(fleet, run, (line) => print(`${size} nodes: ${line}`))) && kept;
    } finally {
      await fleet.end();
    }
  }
  return kept;
}

async function measure(fleet: HollowFleet, run: HollowRun, print: (line: string) => void): Promise<boolean> {
  const { seconds, losses, failureTimeoutMs, announceMs, running } = run;
  const timeoutMs = failureTimeoutMs * 30;
  // While replicas are told anew all the time, no two boards are equal.
  const equal = announceMs === 0;
  const together = await fleet.agree(fleet.begunMs, timeoutMs, equal);
  const begun = await fleet.meters();
  const cpuMs = begun.reduce((sum, word) => sum + (word.cpuMs ?? 0), 0) / fleet.places.length;
  print(`all know all after ${spanOf([together])}, ${cpuMs.toFixed(0)} ms of processor a node`);
  if (together === undefined) {
    const views = await fleet.views();
    const spread = (of: (view: (typeof views)[number]) => number): string => {
      const all = [...new Set(views.map(of))].sort((a, b) => a - b);
      return `${all.length} (${all[0] ?? 0} to ${all.at(-1) ?? 0})`;
    };
    print(`numbers of nodes held to be here ${spread((view) => view.live)}, of keys ${spread((view) => view.keys)}`);
    for (const line of hollowRates(fleet.places, [], begun, monotonicMs() - fleet.begunMs)) print(line);
    return false;
  }
  const first = await fleet.confirm(100, timeoutMs);
  print(`first setup in force after ${spanOf([first.inForceMs])}`);
  await pass(failureTimeoutMs * 2);
  const before = await fleet.meters();
  const fromMs = monotonicMs();
  await pass(seconds * 1000);
  const after = await fleet.meters();
  for (const line of hollowRates(fleet.places, before, after, monotonicMs() - fromMs)) print(line);
  const fronts = fleet.names((place) => place.role === 'agent');
  const heard: (number | undefined)[] = [];
  for (let probe = 0; probe < probes; probe += 1) {
    const front = fronts[(probe * 37) % fronts.length];
    if (front !== undefined) heard.push(await fleet.spread(front, `probe/${probe}`, timeoutMs));
  }
  print(`a word of a front is everywhere after ${spanOf(heard)}`);
  const configurations: { readonly inForceMs: number; readonly heardMs: number | undefined }[] = [];
  for (let probe = 0; probe < probes; probe += 1) configurations.push(await fleet.confirm(101 + probe, timeoutMs));
  const heardMs = spanOf(configurations.map((one) => one.heardMs));
  print(`a setup is everywhere after ${heardMs}, in force after ${spanOf(configurations.map((one) => one.inForceMs))}`);
  return losses ? hollowLosses(fleet, timeoutMs, equal && running === 0, print) : true;
}

async function pass(waitMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, waitMs));
}
