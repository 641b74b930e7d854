/** What the atomic step says. */
export type Taken = { readonly ok: true } | { readonly ok: false; readonly retryAfterMs: number };
