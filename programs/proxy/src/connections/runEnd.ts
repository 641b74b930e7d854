/** How an attempt of an inspected request ended. `bytes` counts those of the response body. */
export type RunEnd =
  /** A complete response that passed all checks. The events of a stream were handed over before. */
  | { readonly kind: 'done'; readonly body: string; readonly bytes: number }
  /** No byte was sent: the replica cannot have run it. */
  | { readonly kind: 'unsent' }
  /** The replica responded with another status than 200. */
  | { readonly kind: 'status'; readonly status: number }
  /** Sent, without a valid response: the replica may have run it. */
  | { readonly kind: 'broken'; readonly reason: string; readonly bytes: number };
