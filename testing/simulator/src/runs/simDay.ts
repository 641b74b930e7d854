import { seededRandom } from '@pewterlanding/runtime';
import { SimulationError } from '../errors/index.js';
import { faults } from '../faults/index.js';
import { simDeployments, SimRun } from '../simulation/index.js';

interface DayOptions {
  readonly seed: number;
  /** The faults of the day in order; without them the seed draws some. */
  readonly faults?: readonly string[] | undefined;
  /** One of the simulated deployments; the one whose machines are listed where none is named. */
  readonly deployment?: string | undefined;
  readonly trace?: (line: string) => void;
}

/** What waits its turn looks again so often. */
const turnMs = 250;
const maxTurns = 200;

/** What may strike at the end, when all is to recover. */
const closings = ['powerOffAll', 'everybodyKilled', 'wipedAfterAck', 'controllersKilled', 'herdKilled'];
const closingRatio = 0.5;
const orderMs = 1500;
const lostAckRatio = 0.3;

/** Some faults for a deployment, in the order in which they strike. */
function draw(random: () => number, joining: boolean): readonly string[] {
  const one = (names: readonly string[]): string => names[Math.floor(random() * names.length)] ?? 'killController';
  const names = Object.keys(faults).filter((name) => joining || faults[name]?.joining !== true);
  const drawn = Array.from({ length: 3 + Math.floor(random() * 4) }, () => one(names));
  return random() < closingRatio ? [...drawn, one(closings)] : drawn;
}

/** A day of several faults under traffic, ending on one last fault. Replays exactly from its seed. */
export async function simDay(options: DayOptions) {
  const random = seededRandom(options.seed ^ 0x5eed);
  const { deployment = 'listed', trace } = options;
  const size = simDeployments[deployment];
  if (size === undefined) throw new SimulationError(`no deployment ${deployment}`);
  const drawn = options.faults ?? draw(random, size.joining !== undefined);
  const run = new SimRun({ ...size, seed: options.seed, ...(trace === undefined ? {} : { trace }) });
  await run.begin();
  run.operators.sendPeriodically(orderMs, lostAckRatio);
  for (const name of drawn) {
    const fault = faults[name];
    if (fault === undefined) throw new SimulationError(`no fault ${name}`);
    let turns = 0;
    while (!fault.inject(run.disruption)) {
      await run.advance(turnMs);
      turns += 1;
      if (turns > maxTurns) throw new SimulationError(`${name} never had its turn`);
    }
    run.noteFault(name);
    trace?.(`${(run.fleet.time.nowMs / 1000).toFixed(3)} FAULT ${name}`);
    // Now and then the next one comes at once.
    await run.advance(random() < 0.25 ? random() * 500 : 1000 + random() * 5000);
  }
  return { seed: options.seed, deployment, faults: drawn, history: run.fleet.history, ...(await run.finish()) };
}
