/** The result of the atomic step; `retryAfterMs` is when the same cost could be taken if nobody else takes. */
export type Taken = { readonly ok: true } | { readonly ok: false; readonly retryAfterMs: number };
