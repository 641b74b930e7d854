import type { ItemTransport } from '@pewterlanding/proxy';

/** Size, load and deployment of a simulated fleet. */
export interface SimEnvironmentOptions {
  readonly seed: number;
  readonly fronts?: number;
  readonly stores?: number;
  readonly controllers?: number;
  /** Replicas of the services that most tasks go to. */
  readonly models?: number;
  /** How many of the machines that hold copies may be lost at once. */
  readonly tolerance?: number;
  readonly tasks?: number;
  readonly batches?: number;
  readonly itemsPerBatch?: number;
  readonly requestsPerMinute?: number;
  readonly freshnessMs?: number;
  readonly items?: ItemTransport;
  readonly joining?: { readonly copies: number };
  readonly trace?: (line: string) => void;
}
