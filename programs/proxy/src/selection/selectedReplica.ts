import type { Address } from '@pewterlanding/model';
import type { AttemptOutcome } from './attemptOutcome.js';

/** A slot of a replica, taken for one attempt until `leave` is called. */
export interface SelectedReplica {
  readonly key: string;
  readonly address: Address;
  /** The instance that is meant, where the replica announces one. */
  readonly instance: string | undefined;
  /** Reports that the prompt has been processed: the first event arrived. */
  readonly read: () => void;
  /** Reports that no response arrived within the time that a response in time takes. */
  readonly overdue: () => void;
  /** Releases the slot; later calls do nothing. */
  readonly leave: (outcome: AttemptOutcome) => void;
}
