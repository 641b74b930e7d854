import { entriesOf, rendezvous } from '@pewterlanding/model';
import type { NodeName } from '@pewterlanding/model';
import type { Placement } from './placement.js';

type StateMachine = Placement['machines'][NodeName];

interface PlacedShard {
  readonly shard: string;
  readonly role: StateMachine['role'];
  readonly copies: number;
  /** Who sits there while nothing has been seated yet. */
  readonly sitting: readonly NodeName[];
}

interface PlacementView {
  /** The machines that are here. */
  readonly live: readonly (StateMachine & { readonly name: NodeName })[];
  /** Whether a machine has been away for so long that its seats may go to others. */
  readonly gone: (name: NodeName) => boolean;
  readonly shards: readonly PlacedShard[];
  /** Whether a shard may be seated while there are fewer machines than copies: more may be about to come. */
  readonly patient: boolean;
}

/**
 * The seating that follows from who is here; undefined where it stays. Who sits stays seated while it is here, or while nobody
 * else could sit there instead; a newcomer sits last, so that its coming moves no ownership.
 */
export function nextPlacement(now: Placement, view: PlacementView): Placement | undefined {
  const machines = new Map(entriesOf(now.machines));
  // A machine of an old name at a new address is another machine: what was asked of the old one does not bind it.
  const moved = new Set(
    view.live.filter(({ name, address }) => (machines.get(name)?.address ?? address) !== address).map(({ name }) => name),
  );
  for (const { name, role, address, zone } of view.live) machines.set(name, { role, address, zone });
  const emptying = now.emptying.filter((name) => !moved.has(name));
  const shards: Record<string, NodeName[]> = {};
  for (const wanted of view.shards) {
    const members = seatsOf(wanted, { now, view, machines, emptying });
    if (members.length > 0) shards[wanted.shard] = members;
  }
  const here = new Set(view.live.map(({ name }) => name));
  const seated = new Set(Object.values(shards).flat());
  for (const name of machines.keys()) if (!here.has(name) && !seated.has(name) && view.gone(name)) machines.delete(name);
  const next = {
    machines: Object.fromEntries([...machines].sort(([a], [b]) => (a < b ? -1 : 1))),
    shards,
    emptying: emptying.filter((name) => machines.has(name)),
  };
  const { version, ...before } = now;
  return JSON.stringify(before) === JSON.stringify(next) ? undefined : { version: version + 1, ...next };
}

interface Ground {
  readonly now: Placement;
  readonly view: PlacementView;
  readonly machines: ReadonlyMap<NodeName, StateMachine>;
  readonly emptying: readonly NodeName[];
}

function seatsOf({ shard, role, copies, sitting }: PlacedShard, { now, view, machines, emptying }: Ground): NodeName[] {
  const before = (now.shards[shard] ?? sitting).filter((name) => machines.has(name));
  if (now.shards[shard] === undefined && before.length < sitting.length && !view.patient) return [];
  const candidates = rendezvous(
    shard,
    view.live.filter((nodeRecord) => nodeRecord.role === role && !emptying.includes(nodeRecord.name)).map(({ name }) => name),
  );
  // A shard that begins shall begin whole, unless the others fail to come.
  if (before.length === 0 && candidates.length < copies && !view.patient) return [];
  const zoneOf = (name: NodeName): string => machines.get(name)?.zone ?? '';
  const inZone = (members: readonly NodeName[], zone: string): number => members.filter((name) => zoneOf(name) === zone).length;
  /** The candidate from the zone that holds the fewest of these seats. */
  const pick = (members: readonly NodeName[], but?: NodeName): NodeName | undefined =>
    candidates
      .filter((name) => !members.includes(name) && name !== but)
      .reduce<NodeName | undefined>(
        (best, name) => (best === undefined || inZone(members, zoneOf(name)) < inZone(members, zoneOf(best)) ? name : best),
        undefined,
      );
  let members = before;
  const leaving = [...before.filter((name) => view.gone(name)), ...before.filter((name) => !view.gone(name) && emptying.includes(name))];
  for (const name of leaving) {
    const others = members.filter((other) => other !== name);
    const newcomer = pick(others, name);
    // Without anybody to take it the seat stays: a copy that may come back is better than none.
    if (newcomer !== undefined) members = [...others, newcomer];
    else if (others.length >= copies) members = others;
  }
  for (let newcomer = pick(members); members.length < copies && newcomer !== undefined; newcomer = pick(members))
    members = [...members, newcomer];
  while (members.length > copies) {
    const last = members.findLast((name) => leaving.includes(name)) ?? members.at(-1);
    members = members.filter((name) => name !== last);
  }
  // Copies crowded in one zone spread, one at a time, once nothing else is to be done.
  const settled = members.length === before.length && members.every((name, position) => name === before[position]);
  if (!settled || leaving.length > 0) return [...members];
  for (const name of [...members].reverse()) {
    const others = members.filter((other) => other !== name);
    const newcomer = pick(others, name);
    if (newcomer !== undefined && inZone(members, zoneOf(name)) > inZone(members, zoneOf(newcomer)) + 1) return [...others, newcomer];
  }
  return [...members];
}
