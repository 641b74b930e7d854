/** How one sending of an opaque item ended. */
export type ItemEnd =
  /** A success that carries its seal, read to its end. */
  | { readonly kind: 'done' }
  /** The replica said that it did not run the item. */
  | { readonly kind: 'notRun'; readonly status: number }
  /** Certainly nothing was sent. */
  | { readonly kind: 'unsent' }
  | { readonly kind: 'status'; readonly status: number }
  | { readonly kind: 'broken'; readonly reason: string };
