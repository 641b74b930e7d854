/** How a try at a replica ended, as seen from the front. */
export type RunEnd =
  /** The whole, genuine return. Streams have handed over their pieces already. */
  | { readonly kind: 'done'; readonly body: string; readonly bytes: number }
  /** Surely nothing was sent. */
  | { readonly kind: 'unsent' }
  /** The replica returned a status instead. */
  | { readonly kind: 'status'; readonly status: number }
  /** Sent, and not answered as it should be. */
  | { readonly kind: 'broken'; readonly reason: string; readonly bytes: number };
