import type { Address } from '@pewterlanding/model';
import type { Instance, SimMachine } from '../engine/index.js';
import type { ReplicaFault } from './replicaFault.js';

interface SimService {
  readonly kind: 'streamed' | 'whole';
  readonly runMs: number;
  readonly pieces: number;
}

/** A replica in virtual time: the machine it stands on, its present instance, and what it takes. */
export interface SimReplica {
  readonly address: Address;
  readonly machine: SimMachine;
  readonly slots: number;
  /** Another service may come to stand at the same address. */
  services: Readonly<Record<string, SimService>>;
  instance: Instance;
  incarnation: number;
  running: number;
  runs: number;
  announcing: boolean;
  /** How many slots it says that it has, as a ratio to those that it has. */
  claimRatio: number;
  fault?: ReplicaFault | undefined;
}
