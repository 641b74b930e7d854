import type { Finding } from './finding.js';

/** Either the value or every finding about it. */
export type Checked<T> = { readonly ok: true; readonly value: T } | { readonly ok: false; readonly findings: readonly Finding[] };
