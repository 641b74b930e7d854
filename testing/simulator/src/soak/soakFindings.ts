import type { SoakHistory } from './soakHistory.js';

interface SoakFinding {
  readonly rule: 'given up' | 'wrong response' | 'ended by itself' | 'did not end in order' | 'nothing judged';
  readonly what: string;
}

/** Fewer requests than this show nothing. */
const minRequests = 100;

/** What of a soak breaks a rule. A request at a machine killed meanwhile may be lost; one that no replica has run was not taken. */
export function soakFindings(history: SoakHistory): readonly SoakFinding[] {
  const findings: SoakFinding[] = [];
  for (const { machine, record } of history.told) {
    const { key, outcome, sentMs, atMs, wrong } = record;
    if (wrong !== undefined) findings.push({ rule: 'wrong response', what: `${key} at ${machine}: ${wrong}` });
    const isOpen = outcome === 'cut' || (outcome === 'lost' && history.ran.has(key));
    if (isOpen && !wasKilled(history, machine, sentMs, atMs))
      findings.push({ rule: 'given up', what: `${key} at ${machine}: ${outcome} after ${atMs - sentMs} ms` });
  }
  for (const process of history.gone) findings.push({ rule: 'ended by itself', what: process });
  for (const { process, exitCode } of history.ends)
    if (exitCode !== 0) findings.push({ rule: 'did not end in order', what: `${process}: exit code ${exitCode}` });
  const answered = history.told.filter(({ record }) => record.outcome === 'returned').length;
  if (answered < minRequests) findings.push({ rule: 'nothing judged', what: `${answered} responses` });
  return findings;
}

function wasKilled({ outages }: SoakHistory, machine: string, fromMs: number, toMs: number): boolean {
  return outages.some((outage) => outage.machine === machine && outage.fromMs <= toMs && outage.toMs >= fromMs);
}
