import type { Violation } from './violation.js';

/** What a rule's checker found, and how much there was to judge: a rule with nothing to judge is not kept, it is not judged. */
export interface Verdict {
  readonly rule: string;
  readonly judged: number;
  readonly violations: readonly Violation[];
}
