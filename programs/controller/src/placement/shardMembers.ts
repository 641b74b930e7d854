import { rendezvous } from '@pewterlanding/model';
import type { NodeName } from '@pewterlanding/model';
import { Candidates } from './candidates.js';
import type { PlacedMachine } from './placedMachine.js';
import type { PlacedShard } from './placedShard.js';
import type { Placement } from './placement.js';
import type { PlacementView } from './placementView.js';

interface PlacementInput {
  readonly now: Placement;
  readonly view: PlacementView;
  readonly machines: ReadonlyMap<NodeName, PlacedMachine>;
  readonly emptying: readonly NodeName[];
}

/** The machines on which a shard's members are placed next, in order; empty while the shard waits for more machines. */
export function shardMembers(placed: PlacedShard, input: PlacementInput): readonly NodeName[] {
  const { shard, copies, currentMembers } = placed;
  const { now, view, machines } = input;
  const stored = now.shards[shard];
  const before = (stored ?? currentMembers).filter((name) => machines.has(name));
  if (stored === undefined && before.length < currentMembers.length && !view.allowsFewerCopies) return [];
  const candidates = candidatesFor(placed, input);
  if (before.length === 0 && candidates.count < copies && !view.allowsFewerCopies) return [];
  const leaving = leavingMembers(before, input);
  const replaced = replaceLeaving(before, leaving, copies, candidates);
  const filled = addMissing(replaced, copies, candidates);
  const members = removeSurplus(filled, copies, leaving);
  const isUnchanged = members.length === before.length && members.every((name, position) => name === before[position]);
  // Zones are balanced only once nothing else changes: each member that moves has to copy the shard.
  return isUnchanged && leaving.length === 0 ? balanceZones(members, candidates) : members;
}

function candidatesFor({ shard, role }: PlacedShard, { view, machines, emptying }: PlacementInput): Candidates {
  const eligible = view.live.filter((machine) => machine.role === role && !emptying.includes(machine.name));
  const order = rendezvous(
    shard,
    eligible.map(({ name }) => name),
  );
  return new Candidates(order, machines);
}

/** Members on lost machines first, then those on stores that are drained. */
function leavingMembers(members: readonly NodeName[], { view, emptying }: PlacementInput): readonly NodeName[] {
  const lost = members.filter((name) => view.isLost(name));
  const drained = members.filter((name) => !view.isLost(name) && emptying.includes(name));
  return [...lost, ...drained];
}

/** Newcomers are last in the order, so that they do not change which members are preferred. */
function replaceLeaving(
  before: readonly NodeName[],
  leaving: readonly NodeName[],
  copies: number,
  candidates: Candidates,
): readonly NodeName[] {
  let members = before;
  for (const name of leaving) {
    const others = members.filter((other) => other !== name);
    const newcomer = candidates.next(others, name);
    // Without a candidate the member stays: a copy that may come back is better than none.
    if (newcomer !== undefined) members = [...others, newcomer];
    else if (others.length >= copies) members = others;
  }
  return members;
}

function addMissing(before: readonly NodeName[], copies: number, candidates: Candidates): readonly NodeName[] {
  let members = before;
  while (members.length < copies) {
    const newcomer = candidates.next(members);
    if (newcomer === undefined) break;
    members = [...members, newcomer];
  }
  return members;
}

function removeSurplus(before: readonly NodeName[], copies: number, leaving: readonly NodeName[]): readonly NodeName[] {
  let members = before;
  while (members.length > copies) {
    const last = members.findLast((name) => leaving.includes(name)) ?? members.at(-1);
    members = members.filter((name) => name !== last);
  }
  return members;
}

/** Moves one member, the last that can, from a crowded zone to one that has at least two members fewer. */
function balanceZones(members: readonly NodeName[], candidates: Candidates): readonly NodeName[] {
  for (const name of [...members].reverse()) {
    const others = members.filter((other) => other !== name);
    const newcomer = candidates.next(others, name);
    if (newcomer === undefined) continue;
    if (candidates.membersInZoneOf(name, members) > candidates.membersInZoneOf(newcomer, members) + 1) return [...others, newcomer];
  }
  return members;
}
