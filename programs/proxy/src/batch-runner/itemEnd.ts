/** How one sending of an opaque item ended. */
export type ItemEnd =
  /** A success with its seal, read to its very end. */
  | { readonly kind: 'done' }
  /** The replica said that it did not run it. */
  | { readonly kind: 'notRun'; readonly status: number }
  /** Surely nothing was sent. */
  | { readonly kind: 'unsent' }
  | { readonly kind: 'status'; readonly status: number }
  | { readonly kind: 'broken'; readonly reason: string };
