import type { StateMachine } from '@pewterlanding/consensus';

/** How the stored form of one shard is opened, and its content in the manifest's words. */
export interface StoredFormat<C, R, M extends StateMachine<C, R>> {
  readonly of: 'controller' | 'store';
  readonly shard: string;
  readonly make: () => M;
  readonly state: (machine: M) => Record<string, unknown>;
  readonly returned: (response: R) => string;
  /** Commands that are written after the stored ones, by their ids. */
  readonly later: Readonly<Record<string, C>>;
}
