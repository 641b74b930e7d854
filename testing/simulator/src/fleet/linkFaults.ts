import type { Act } from './act.js';
import { aim } from './aim.js';
import type { Ground } from './ground.js';
import type { Link } from './link.js';
import { pass } from './pass.js';

const stall: Link = { kind: 'stall', delayMs: 0 };
const cutMs = 8000;

/** Sets links between machines for a while, then mends all of them; the relays tell whether anything was held. */
async function cut({ fleet, took }: Ground, pairs: readonly (readonly [string, string])[], link: Link, forMs = cutMs): Promise<void> {
  const links = fleet.links;
  if (links === undefined) throw new Error('this fleet runs without relays');
  const hosts = pairs.map(([from, to]) => [fleet.hostOf(from), fleet.hostOf(to)] as const);
  const before = hosts.map(([from, to]) => links.touched(from, to));
  for (const [from, to] of hosts) links.set(from, to, link);
  await pass(forMs);
  const held = hosts.filter(([from, to], position) => links.touched(from, to) > (before[position] ?? 0)).length;
  links.heal();
  const names = [...new Set(pairs.map(([from, to]) => `${from}>${to}`))];
  if (held > 0)
    took(
      names.length > 6 ? `${names.slice(0, 3).join(' ')} and ${names.length - 3} more` : names.join(' '),
      `circuits of ${held} links were held up, for ${forMs} ms`,
    );
}

const all = (ground: Ground): readonly string[] =>
  (['controller', 'store', 'front'] as const).flatMap((kind) => aim.names(ground.fleet, kind));
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
const isolate = (ground: Ground, name: string): Promise<void> => cut(ground, both([name], all(ground)), stall);

/** Cuts and slow links between the machines of a real fleet. Replicas and callers are still reached. */
export const linkFaults: Readonly<Record<string, Act>> = {
  /** One controller machine here, two there, the rest of the fleet hearing both. */
  controllersSplit: (ground) => {
    const [lone, ...rest] = [...aim.names(ground.fleet, 'controller')].sort(() => ground.random() - 0.5);
    return cut(ground, both([lone ?? ''], rest), stall);
  },
  /** The whole controller is cut off from everybody else, for longer than fronts stay fresh. */
  controllersCutOff: (ground) => {
    const controllers = aim.names(ground.fleet, 'controller');
    return cut(
      ground,
      both(
        controllers,
        all(ground).filter((name) => !controllers.includes(name)),
      ),
      stall,
    );
  },
  isolateController: (ground) => isolate(ground, aim.pick(aim.names(ground.fleet, 'controller'), ground.random)),
  isolateConfigurationLeader: async (ground) => isolate(ground, await aim.owner(ground.fleet, 'setup')),
  isolateStore: (ground) => isolate(ground, aim.pick(aim.names(ground.fleet, 'store'), ground.random)),
  isolateBatchLeader: async (ground) => isolate(ground, await aim.owner(ground.fleet, 'lots-0')),
  isolateFront: (ground) => isolate(ground, aim.pick(aim.names(ground.fleet, 'front'), ground.random)),
  /** A controller machine hears the others, which do not hear it; or the other way round. */
  oneWayCut: (ground) => {
    const deaf = aim.pick(aim.names(ground.fleet, 'controller'), ground.random);
    const others = all(ground).filter((name) => name !== deaf);
    const inward = ground.random() < 0.5;
    return cut(
      ground,
      others.map((other): readonly [string, string] => (inward ? [other, deaf] : [deaf, other])),
      stall,
    );
  },
  /** Everything between machines takes a fifth of a second longer each way. */
  slowLinks: (ground) => cut(ground, both(all(ground), all(ground)), { kind: 'pass', delayMs: 200 }),
  /** Every circuit between stores and fronts breaks off, and again for as long as it lasts. */
  brokenLinks: (ground) =>
    cut(ground, both(aim.names(ground.fleet, 'store'), aim.names(ground.fleet, 'front')), { kind: 'drop', delayMs: 0 }, 2000),
};
