/** Outcome of an inspected live request for its client. A refusal means that the request was not and will not be run. */
export type TaskReturn =
  | { readonly kind: 'whole'; readonly body: string }
  | { readonly kind: 'streamed' }
  | { readonly kind: 'refused'; readonly status: 403 | 404 | 413 | 429 | 503; readonly reason: string; readonly retryAfterMs?: number }
  | { readonly kind: 'failed'; readonly status: 502 | 504; readonly reason: string }
  /** The stream had begun; it ends with a failure that the client can see. */
  | { readonly kind: 'cut'; readonly reason: string };
