import type { ReplicaSelector } from '../selection/replicaSelector.js';
import type { ItemEnd } from './itemEnd.js';

type SelectedReplica = NonNullable<Awaited<ReturnType<ReplicaSelector['enter']>>>;
type Health = Parameters<SelectedReplica['leave']>[0];

/** Statuses by which a replica that did not run an item says why; others say nothing of its health. */
const notRunHealth: ReadonlyMap<number, Health> = new Map([
  [421, 'failed'],
  [429, 'overloaded'],
  [503, 'overloaded'],
]);

/** What an item's end says of the replica's health. Without an end nothing was sent. */
export function replicaHealthOf(end: ItemEnd | undefined, wasHalted: boolean): Health {
  switch (end?.kind) {
    case undefined:
      return 'unknown';
    case 'done':
      return 'succeeded';
    case 'notRun':
      return notRunHealth.get(end.status) ?? 'succeeded';
    case 'status':
      return end.status >= 500 ? 'suspect' : 'succeeded';
    case 'broken':
      return wasHalted ? 'unknown' : 'failed';
    case 'unsent':
      return 'failed';
  }
}
