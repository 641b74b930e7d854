/** What becomes of a hand-in of opaque items. A refusal promises that none of this try will run; `unknown` promises nothing. */
export type SubmittedOpaque =
  | { readonly kind: 'made' }
  | { readonly kind: 'refused'; readonly status: 429 | 503; readonly reason: string; readonly retryAfterMs: number }
  | { readonly kind: 'refused'; readonly status: 404 | 409 | 413 | 422; readonly reason: string }
  | { readonly kind: 'unknown' };
