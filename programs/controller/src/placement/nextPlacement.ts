import { entriesOf } from '@pewterlanding/model';
import type { NodeName } from '@pewterlanding/model';
import type { PlacedMachine } from './placedMachine.js';
import type { Placement } from './placement.js';
import type { PlacementView } from './placementView.js';
import { shardMembers } from './shardMembers.js';

/**
 * The placement that follows from the live machines; undefined where the present one stays. A member stays placed while its machine
 * is live, or while no other machine could take its place; a newcomer is last in the order, so that it moves no leadership.
 */
export function nextPlacement(now: Placement, view: PlacementView): Placement | undefined {
  const machines = knownMachines(now, view);
  const emptying = stillEmptying(now, view);
  const shards: Record<string, NodeName[]> = {};
  for (const placed of view.shards) {
    const members = shardMembers(placed, { now, view, machines, emptying });
    if (members.length > 0) shards[placed.shard] = [...members];
  }
  forgetLost(machines, shards, view);
  const next = {
    machines: Object.fromEntries([...machines].sort(([a], [b]) => (a < b ? -1 : 1))),
    shards,
    emptying: emptying.filter((name) => machines.has(name)),
  };
  const { version, ...before } = now;
  return JSON.stringify(before) === JSON.stringify(next) ? undefined : { version: version + 1, ...next };
}

function knownMachines(now: Placement, view: PlacementView): Map<NodeName, PlacedMachine> {
  const machines = new Map(entriesOf(now.machines));
  for (const { name, role, address, zone } of view.live) machines.set(name, { role, address, zone });
  return machines;
}

/** A machine of a known name at a new address is another machine: the drain of the earlier one does not apply to it. */
function stillEmptying(now: Placement, view: PlacementView): readonly NodeName[] {
  const machines = new Map(entriesOf(now.machines));
  const moved = new Set<NodeName>();
  for (const { name, address } of view.live) {
    const known = machines.get(name);
    if (known !== undefined && known.address !== address) moved.add(name);
  }
  return now.emptying.filter((name) => !moved.has(name));
}

/** Removes lost machines on which nothing is placed. */
function forgetLost(machines: Map<NodeName, PlacedMachine>, shards: Readonly<Record<string, NodeName[]>>, view: PlacementView): void {
  const live = new Set(view.live.map(({ name }) => name));
  const placed = new Set(Object.values(shards).flat());
  for (const name of machines.keys()) if (!live.has(name) && !placed.has(name) && view.isLost(name)) machines.delete(name);
}
