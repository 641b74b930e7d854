import type { HistoryEvent } from '../history/index.js';
import type { Deployment } from './deployment.js';
import type { Drive } from './drive.js';
import type { Fleet } from './fleet.js';
import type { Operator } from './operator.js';

/** What a fault on a real fleet has to work with. */
export interface Ground {
  readonly fleet: Fleet;
  readonly drive: Drive;
  readonly operator: Operator;
  readonly traffic: Deployment['traffic'];
  readonly random: () => number;
  readonly note: (historyEvent: HistoryEvent) => void;
  /** A fault says whom it hit and how it knows that it took hold. A fault that says nothing did nothing, and fails the run. */
  readonly took: (target: string, evidence: string) => void;
}
