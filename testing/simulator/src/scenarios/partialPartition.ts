import type { SimEnvironment } from '../simulation/index.js';

/** Which messages of the machine are lost: those it sends, those sent to it, or all. */
type LostDirection = 'out' | 'in' | 'both';

interface PartialPartition {
  readonly machine: string;
  readonly lost: LostDirection;
  /** What a sender meets there. */
  readonly how?: 'silent' | 'refused';
}

/** Cuts a machine off from all controllers and stores, while fronts and callers still reach it. */
export function partialPartition(run: SimEnvironment, { machine, lost, how = 'silent' }: PartialPartition): void {
  const peers = [...run.machines('controller'), ...run.machines('store')].filter((peer) => peer !== machine);
  for (const peer of peers) {
    if (lost !== 'in') run.fleet.net.cut(machine, peer, how);
    if (lost !== 'out') run.fleet.net.cut(peer, machine, how);
  }
}
