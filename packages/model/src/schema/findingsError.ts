import type { Finding } from './finding.js';
import { PewterError } from './pewterError.js';

/** Input that failed validation: one line of the message for each finding, in the order in which the schema reported them. */
export class FindingsError extends PewterError {
  readonly code = 'PEWTER_INVALID_INPUT';
  /** The same input fails again. */
  readonly retriable = false;

  constructor(readonly findings: readonly Finding[]) {
    super(findings.map((finding) => `${finding.place === '' ? '(whole)' : finding.place}: ${finding.message}`).join('\n'));
  }
}
