import { HarnessError } from '../errors/index.js';
import type { FleetFault } from './fleetFault.js';
import { targets } from './targets.js';
import type { FaultContext } from './faultContext.js';
import type { Link } from './link.js';
import { sleep } from './sleep.js';

const stall: Link = { kind: 'stall', delayMs: 0 };
const cutMs = 8000;

/** Sets links between machines for a while, then mends all of them; the relays tell whether anything was held. */
async function cut(
  { fleet, noteEffect: took }: FaultContext,
  pairs: readonly (readonly [string, string])[],
  link: Link,
  forMs = cutMs,
): Promise<void> {
  const links = fleet.links;
  if (links === undefined) throw new HarnessError('this fleet runs without relays');
  const hosts = pairs.map(([from, to]) => [fleet.hostOf(from), fleet.hostOf(to)] as const);
  const before = hosts.map(([from, to]) => links.touched(from, to));
  for (const [from, to] of hosts) links.set(from, to, link);
  await sleep(forMs);
  const held = hosts.filter(([from, to], position) => links.touched(from, to) > (before[position] ?? 0)).length;
  links.heal();
  const names = [...new Set(pairs.map(([from, to]) => `${from}>${to}`))];
  if (held > 0)
    took(
      names.length > 6 ? `${names.slice(0, 3).join(' ')} and ${names.length - 3} more` : names.join(' '),
      `circuits of ${held} links were held up, for ${forMs} ms`,
    );
}

const all = (context: FaultContext): readonly string[] =>
  (['controller', 'store', 'front'] as const).flatMap((kind) => targets.names(context.fleet, kind));
const both = (here: readonly string[], there: readonly string[]) =>
  here.flatMap((a) =>
    there
      .filter((b) => b !== a)
      .flatMap(
        (b) =>
          [
            [a, b],
            [b, a],
          ] as const,
      ),
  );
const isolate = (context: FaultContext, name: string): Promise<void> => cut(context, both([name], all(context)), stall);

/** Cuts and slow links between the machines of a real fleet. Replicas and callers are still reached. */
export const linkFaults: Readonly<Record<string, FleetFault>> = {
  /** One controller machine here, two there, the rest of the fleet hearing both. */
  controllersSplit: (context) => {
    const [lone, ...rest] = [...targets.names(context.fleet, 'controller')].sort(() => context.random() - 0.5);
    return cut(context, both([lone ?? ''], rest), stall);
  },
  /** The whole controller is cut off from everybody else, for longer than fronts stay fresh. */
  controllersCutOff: (context) => {
    const controllers = targets.names(context.fleet, 'controller');
    return cut(
      context,
      both(
        controllers,
        all(context).filter((name) => !controllers.includes(name)),
      ),
      stall,
    );
  },
  isolateController: (context) => isolate(context, targets.pickRandom(targets.names(context.fleet, 'controller'), context.random)),
  isolateConfigurationLeader: async (context) => isolate(context, await targets.shardLeader(context.fleet, 'setup')),
  isolateStore: (context) => isolate(context, targets.pickRandom(targets.names(context.fleet, 'store'), context.random)),
  isolateBatchLeader: async (context) => isolate(context, await targets.shardLeader(context.fleet, 'lots-0')),
  isolateFront: (context) => isolate(context, targets.pickRandom(targets.names(context.fleet, 'front'), context.random)),
  /** A controller machine hears the others, which do not hear it; or the other way round. */
  oneWayCut: (context) => {
    const deaf = targets.pickRandom(targets.names(context.fleet, 'controller'), context.random);
    const others = all(context).filter((name) => name !== deaf);
    const inward = context.random() < 0.5;
    return cut(
      context,
      others.map((other): readonly [string, string] => (inward ? [other, deaf] : [deaf, other])),
      stall,
    );
  },
  /** Everything between machines takes a fifth of a second longer each way. */
  slowLinks: (context) => cut(context, both(all(context), all(context)), { kind: 'pass', delayMs: 200 }),
  /** Every circuit between stores and fronts breaks off, and again for as long as it lasts. */
  brokenLinks: (context) =>
    cut(context, both(targets.names(context.fleet, 'store'), targets.names(context.fleet, 'front')), { kind: 'drop', delayMs: 0 }, 2000),
};
