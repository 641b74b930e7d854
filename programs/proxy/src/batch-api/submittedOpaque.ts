/**
 * The outcome of submitting opaque items. `rejected` promises that no item of this submission will run; `unknown` promises nothing:
 * the batch may be stored already, or may be stored later.
 */
export type SubmittedOpaque =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'rejected'; readonly status: 429 | 503; readonly reason: string; readonly retryAfterMs: number }
  | { readonly kind: 'rejected'; readonly status: 404 | 409 | 413 | 422; readonly reason: string }
  | { readonly kind: 'unknown' };
