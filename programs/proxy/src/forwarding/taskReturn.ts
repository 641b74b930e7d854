/** What a caller is told. A refusal means that the task never ran and never will. */
export type TaskReturn =
  | { readonly kind: 'whole'; readonly body: string }
  | { readonly kind: 'streamed' }
  | { readonly kind: 'refused'; readonly status: 403 | 404 | 413 | 429 | 503; readonly reason: string; readonly retryAfterMs?: number }
  | { readonly kind: 'failed'; readonly status: 502 | 504; readonly reason: string }
  /** The stream had begun; it ends as a visible failure. */
  | { readonly kind: 'cut'; readonly reason: string };
