import type { Address } from '@pewterlanding/model';

/** One sending of an opaque item to one replica. */
export interface ItemAttempt {
  /** What tells the replica from others, and its circuits. */
  readonly key: string;
  readonly address: Address;
  /** The life of the replica that is meant, where it has one. */
  readonly instance: string | undefined;
  /** The id that the return must carry back. */
  readonly task: string;
  readonly method: 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** So long the whole of it may take. */
  readonly expiryMs: number;
  /** A return silent for so long is broken off. */
  readonly failureTimeoutMs: number;
}
