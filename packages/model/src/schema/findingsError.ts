import type { Finding } from './finding.js';

/** Several findings thrown as one. */
export class FindingsError extends Error {
  constructor(readonly findings: readonly Finding[]) {
    super(findings.map((finding) => `${finding.place === '' ? '(whole)' : finding.place}: ${finding.message}`).join('\n'));
    this.name = 'FindingsError';
  }
}
