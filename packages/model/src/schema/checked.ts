import type { Finding } from './finding.js';

/** The result of a validation: the value, or all findings about it. */
export type Checked<T> = { readonly ok: true; readonly value: T } | { readonly ok: false; readonly findings: readonly Finding[] };
