import { NodePlaces, relayTree } from '@pewterlanding/membership';
import type { NodeName } from '@pewterlanding/model';
import type { HollowFleet } from './hollowFleet.js';
import type { HollowResponse } from './hollowResponse.js';
import { monotonicMs } from './monotonicMs.js';
import { spanOf } from './spanOf.js';

const partedRatio = 0.5;

/** Losses one after the other: how long until all that remain know who remains, and until the lost are back with all. */
export async function hollowLosses(fleet: HollowFleet, timeoutMs: number, equal: boolean, print: (line: string) => void): Promise<boolean> {
  const [last] = fleet.names((place) => place.role === 'agent').slice(-1);
  const rack = fleet.places.at(-1)?.rack;
  const zone = fleet.places.at(-1)?.zone;
  const nodeRecords = fleet.places.map(({ name, role, zone: of, address }) => ({ name, role, zone: of, address, state: 'here' as const }));
  const parents = relayTree(nodeRecords, new NodePlaces());
  const root = [...parents].flatMap(([name, parent]) => (parent === undefined ? [name] : []));
  const heads = fleet.names((place) => parents.get(place.name) === root[0] && place.role === 'agent');
  const losses: readonly (readonly [string, 'leave' | 'kill', readonly NodeName[]])[] = [
    ['a front leaves', 'leave', last === undefined ? [] : [last]],
    ['a front dies', 'kill', last === undefined ? [] : [last]],
    ['a rack dies', 'kill', fleet.names((place) => place.rack === rack && place.role === 'agent')],
    ["the tree's top dies", 'kill', root],
    ['all fronts at the head of a zone die', 'kill', heads],
    ['a zone dies', 'kill', fleet.names((place) => place.zone === zone)],
  ];
  let kept = true;
  for (const [what, how, names] of losses) {
    if (names.length === 0) continue;
    const before = await fleet.meters();
    const known = await fleet.agree(await fleet.act(how, names), timeoutMs, equal);
    // What left closes its sockets too, or it would still be dialled.
    if (how === 'leave') await fleet.act('kill', names);
    const response = await fleet.agree(await fleet.act('start', names), timeoutMs, equal);
    const bytes = between(before, await fleet.meters()) / fleet.places.length;
    const times = `known to all after ${spanOf([known])}; back with all after ${spanOf([response])}`;
    print(`${what} (${names.length} of ${fleet.places.length}): ${times}; ${Math.round(bytes)} bytes a node`);
    kept &&= known !== undefined && response !== undefined;
  }
  return (await parted(fleet, timeoutMs, equal, print)) && kept;
}

/** Two regions cut from the others for long, words put on both sides meanwhile, then healed. */
async function parted(fleet: HollowFleet, timeoutMs: number, equal: boolean, print: (line: string) => void): Promise<boolean> {
  const far = [2, 3].filter((region) => fleet.names((place) => place.region === region).length > 0);
  const cutMs = await fleet.part(far);
  await new Promise((resolve) => setTimeout(resolve, timeoutMs * partedRatio));
  const views = await fleet.views();
  const instances = [...new Set(views.map((view) => view.live))].sort((a, b) => a - b);
  for (const side of [true, false]) {
    const [at] = fleet.names((place) => place.role === 'agent' && far.includes(place.region) === side);
    if (at !== undefined) await fleet.spread(at, `probe/side-${String(side)}`, 1);
  }
  const before = await fleet.meters();
  const partedMs = monotonicMs() - cutMs;
  const whole = await fleet.agree(await fleet.part([]), timeoutMs, equal);
  const bytes = between(before, await fleet.meters()) / fleet.places.length;
  print(
    `regions ${far.join(', ')} parted for ${Math.round(partedMs)} ms, sides held ${instances.join(' and ')} to be here; ` +
      `whole again after ${spanOf([whole])}, ${Math.round(bytes)} bytes a node`,
  );
  return whole !== undefined;
}

function between(before: readonly HollowResponse[], after: readonly HollowResponse[]): number {
  const out = (words: readonly HollowResponse[]): number =>
    words.reduce(
      (all, { counts = {} }) => all + ['agent', 'controller', 'store'].reduce((sum, role) => sum + (counts[`${role} bytes.out`] ?? 0), 0),
      0,
    );
  return out(after) - out(before);
}
