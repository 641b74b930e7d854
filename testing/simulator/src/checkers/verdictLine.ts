import type { Verdict } from './verdict.js';

/** A verdict as it is printed. */
export function verdictLine({ rule, judged, violations }: Verdict): string {
  if (violations.length > 0) return `BROKEN     ${rule}: ${violations.length} of ${judged} judged, first: ${violations[0]?.what ?? ''}`;
  return judged === 0 ? `NOT JUDGED ${rule}` : `kept       ${rule} (${judged} judged)`;
}
