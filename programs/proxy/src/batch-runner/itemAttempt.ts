import type { Address } from '@pewterlanding/model';

/** One request that sends an opaque item to one replica. */
export interface ItemAttempt {
  /** Identifies the replica and its connections. */
  readonly key: string;
  readonly address: Address;
  /** The replica's instance that is meant, where it has one. */
  readonly instance: string | undefined;
  /** The id that the response must carry. */
  readonly task: string;
  readonly method: 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Limit on the whole exchange. */
  readonly expiryMs: number;
  /** Limit on the time between two pieces of the response; then the exchange is aborted. */
  readonly failureTimeoutMs: number;
}
