import type { HistoryEvent } from '../history/index.js';
import type { Deployment } from './deployment.js';
import type { LoadGenerator } from './loadGenerator.js';
import type { Fleet } from './fleet.js';
import type { Operator } from './operator.js';

/** What a fault on a real fleet has to work with. */
export interface FaultContext {
  readonly fleet: Fleet;
  readonly load: LoadGenerator;
  readonly operator: Operator;
  readonly traffic: Deployment['traffic'];
  readonly random: () => number;
  readonly note: (historyEvent: HistoryEvent) => void;
  /** A fault says whom it hit and how it knows that it took hold. A fault that says nothing did nothing, and fails the run. */
  readonly noteEffect: (target: string, evidence: string) => void;
}
