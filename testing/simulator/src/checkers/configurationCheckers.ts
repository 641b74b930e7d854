import type { Checker } from './checker.js';
import type { Violation } from './violation.js';
import type { HistoryEvent } from '../history/index.js';
import { eventsOfType } from '../history/index.js';
import { runsByKey } from './runsByKey.js';

type Planned = Extract<HistoryEvent, { type: 'planned' }>;

/** So many of the newest are shown; older ones stand in the audit trail alone. */
const keptConfirmations = 200;

/** The plans that may be in force at a moment: the newest known to be, and those after it or of unknown outcome. */
function possibilities(history: readonly HistoryEvent[], aboutTwoMs: number): (atMs: number) => readonly Planned[] {
  const planned = eventsOfType(history, 'planned');
  const confirmed = eventsOfType(history, 'confirmed');
  const versions = new Map(confirmed.map((one) => [one.plan, one.version]));
  const rejected = new Set(eventsOfType(history, 'rejected').map((one) => one.plan));
  return (atMs) => {
    const newest = confirmed.reduce(
      (limit, one) => (one.inForce && one.atMs + aboutTwoMs <= atMs ? Math.max(limit, one.version) : limit),
      0,
    );
    if (newest === 0) return [];
    return planned.filter((plan) => plan.atMs <= atMs && !rejected.has(plan.plan) && (versions.get(plan.plan) ?? newest) >= newest);
  };
}

/** Whether confirmed configurations are in force, stay in force, and are kept. */
export const configurationCheckers: Readonly<Record<string, Checker>> = {
  'a confirmed setup is ignored, or an old one returns': (history, bounds) => {
    const violations: Violation[] = [];
    let judged = 0;
    // By behaviour: what no configuration that may be in force allows must be refused, and must not begin.
    const told = new Map(eventsOfType(history, 'told').map((one) => [one.key, one]));
    const runs = runsByKey(history);
    const possible = possibilities(history, bounds.aboutTwoMs);
    const confirmed = eventsOfType(history, 'confirmed');
    const changes = [...confirmed, ...eventsOfType(history, 'planned')].map((one) => one.atMs);
    const ever = new Set(eventsOfType(history, 'planned').flatMap((plan) => [...plan.services, ...plan.quotas]));
    const turned = new Map<string, number>();
    for (const sent of eventsOfType(history, 'sent')) {
      const { service, quota, front, kind } = sent;
      if (!ever.has(service)) continue;
      const allowed = (atMs: number): boolean => {
        const plans = possible(atMs);
        return (
          plans.length === 0 ||
          plans.some((plan) => plan.services.includes(service) && (quota === undefined || plan.quotas.includes(quota)))
        );
      };
      if (!allowed(sent.atMs)) judged += 1;
      const late = runs.get(sent.key)?.find((run) => !allowed(run.sentMs ?? run.atMs));
      if (late !== undefined)
        violations.push({ atMs: late.atMs, what: `${sent.key} began at ${service} for ${quota ?? ''}, which was pruned` });
      const response = told.get(sent.key);
      if (response === undefined || kind === 'batch') continue;
      const last = `${front ?? ''} ${service} ${quota ?? ''}`;
      if (response.outcome === 'returned') {
        const goneMs = turned.get(last);
        // Once this front has refused it as pruned, it may take it again only under a later plan.
        const later = changes.some((changedMs) => changedMs >= (goneMs ?? 0) - bounds.aboutTwoMs && changedMs <= response.atMs);
        const asked = sent.atMs > (goneMs ?? Number.POSITIVE_INFINITY);
        if (asked && !later) violations.push({ atMs: response.atMs, what: `${front ?? ''} had refused ${service} and took ${sent.key}` });
      } else if (response.status === 403 || response.status === 404) turned.set(last, response.atMs);
    }
    for (const batch of eventsOfType(history, 'batchAccepted')) {
      const limit = possible(batch.atMs).map((plan) => plan.maxItems);
      if (limit.length === 0 || limit.includes(undefined)) continue;
      judged += 1;
      const largest = Math.max(...limit.flatMap((items) => items ?? []));
      if (batch.items.length > largest)
        violations.push({ atMs: batch.atMs, what: `${batch.batch} of ${batch.items.length} items was taken, ${largest} are allowed` });
    }
    // By what fronts say of themselves: it can only speak against them.
    const seen = new Map<string, number>();
    for (const one of eventsOfType(history, 'carriedUnder')) {
      const before = seen.get(one.front) ?? 0;
      if (one.version < before) violations.push({ atMs: one.atMs, what: `${one.front} went back from ${before} to ${one.version}` });
      seen.set(one.front, Math.max(before, one.version));
      const missed = confirmed.find((c) => c.inForce && one.atMs > c.atMs + bounds.aboutTwoMs && one.version < c.version);
      if (missed !== undefined)
        violations.push({ atMs: one.atMs, what: `${one.front} carried under ${one.version}, ${missed.version} was confirmed` });
    }
    return { judged, violations };
  },

  'a confirmed setup is forgotten, or a refused one takes effect': (history) => {
    const violations: Violation[] = [];
    const confirmed = eventsOfType(history, 'confirmed');
    const rejected = new Set(eventsOfType(history, 'rejected').map((one) => one.plan));
    let judged = 0;
    for (const read of eventsOfType(history, 'configurationRead')) {
      const known = confirmed.filter((one) => one.atMs <= read.askedMs);
      judged += known.length;
      const newest = known.reduce((limit, one) => Math.max(limit, one.version), 0);
      if (read.version < newest) violations.push({ atMs: read.atMs, what: `read version ${read.version}, ${newest} was confirmed before` });
      for (const one of known)
        if (one.version > read.version - keptConfirmations && !read.plans.includes(one.plan))
          violations.push({ atMs: read.atMs, what: `${one.plan} is not in the history any more` });
      for (const plan of read.plans)
        if (rejected.has(plan)) violations.push({ atMs: read.atMs, what: `${plan} was refused and took effect` });
    }
    const bases = new Map(eventsOfType(history, 'planned').map((one) => [one.plan, one.base]));
    for (const one of confirmed) {
      const base = bases.get(one.plan);
      if (base !== undefined && base !== one.version - 1)
        violations.push({ atMs: one.atMs, what: `${one.plan} was made on version ${base} and put over version ${one.version - 1}` });
    }
    const plans = new Map<number, string>();
    for (const one of confirmed) {
      const other = plans.get(one.version);
      if (other !== undefined && other !== one.plan)
        violations.push({ atMs: one.atMs, what: `version ${one.version} was confirmed for ${other} and ${one.plan}` });
      plans.set(one.version, one.plan);
    }
    return { judged, violations };
  },
};
