/** A replica's whole return. */
interface WholeReturn {
  readonly status: number;
  readonly reason: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** How a try of an opaque task ended. */
export type AttemptEnd =
  /** Surely nothing was sent. */
  | { readonly kind: 'unsent' }
  /** Nothing was sent, and no replica could be sent it. */
  | { readonly kind: 'unfit' }
  /** The replica said that it did not run the task. */
  | { readonly kind: 'notRun'; readonly result: WholeReturn }
  | { readonly kind: 'whole'; readonly result: WholeReturn }
  /** All events of a stream were passed on, and its end was whole. */
  | { readonly kind: 'streamed' }
  /** Sent, and its time ran out or its downstream left with no word from the replica in this try. */
  | { readonly kind: 'silent'; readonly reason: string }
  /** Sent, and no return that counts. */
  | { readonly kind: 'broken'; readonly reason: string };
