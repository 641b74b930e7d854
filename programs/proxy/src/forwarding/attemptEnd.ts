import type { WholeResponse } from './wholeResponse.js';

/** How an attempt of an opaque request ended. The kinds are parts of counter names. */
export type AttemptEnd =
  /** No byte was sent: the replica cannot have run it. */
  | { readonly kind: 'unsent' }
  /** No byte was sent, and no replica can be sent this request. */
  | { readonly kind: 'unfit' }
  /** The replica stated that it did not run the request. */
  | { readonly kind: 'notRun'; readonly result: WholeResponse }
  | { readonly kind: 'whole'; readonly result: WholeResponse }
  /** All events of a stream were passed on, up to its regular end. */
  | { readonly kind: 'streamed' }
  /** Sent, and without a response when its time ran out or its client disconnected. */
  | { readonly kind: 'silent'; readonly reason: string }
  /** Sent, without a valid response. */
  | { readonly kind: 'broken'; readonly reason: string };
