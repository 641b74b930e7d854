import type { Checker } from './checker.js';
import type { Violation } from './violation.js';
import { itemStartChecker } from './itemStartChecker.js';
import { batchCheckers } from './batchCheckers.js';
import { orderCheckers } from './orderCheckers.js';
import { eventsOfType } from '../history/index.js';
import { recoveryChecker } from './recoveryChecker.js';
import { runsByKey } from './runsByKey.js';
import { configurationCheckers } from './configurationCheckers.js';
import { shareChecker } from './shareChecker.js';

/** One checker for each line of what must never happen, by its rule. */
export const checkers: Readonly<Record<string, Checker>> = {
  'an unrepeatable task runs twice': (history) => {
    const runs = runsByKey(history);
    const unrepeatable = eventsOfType(history, 'sent').filter((sent) => !sent.idempotent && runs.has(sent.key));
    const violations = unrepeatable.flatMap((sent) => {
      const second = runs.get(sent.key)?.[1];
      return second === undefined ? [] : [{ atMs: second.atMs, what: `${sent.key} ran again at ${second.replica}` }];
    });
    return { judged: unrepeatable.length, violations };
  },

  'a refused task runs after all': (history) => {
    const runs = runsByKey(history);
    const accepted = new Set(eventsOfType(history, 'batchAccepted').map((batch) => batch.batch));
    const refused = [
      ...eventsOfType(history, 'told').flatMap((told) => (told.outcome === 'refused' ? [told.key] : [])),
      ...eventsOfType(history, 'batchRefused').flatMap((batch) =>
        accepted.has(batch.batch) ? [] : batch.items.map((item) => `${batch.batch}/${item}`),
      ),
    ];
    const violations = refused.flatMap((key) => {
      const run = runs.get(key)?.[0];
      return run === undefined ? [] : [{ atMs: run.atMs, what: `${key} was refused and ran at ${run.replica}` }];
    });
    return { judged: refused.length, violations };
  },

  'a success is not the whole, genuine return': (history) => {
    const runs = runsByKey(history);
    const returned = eventsOfType(history, 'told').filter((told) => told.outcome === 'returned');
    const violations = returned.flatMap((told) => {
      if (told.wrong !== undefined) return [{ atMs: told.atMs, what: `${told.key}: ${told.wrong}` }];
      const { pieces } = told;
      if (pieces !== undefined && pieces.length !== pieces[0]?.of) {
        return [{ atMs: told.atMs, what: `${told.key}: ${pieces.length} of ${pieces[0]?.of ?? 0} pieces as a success` }];
      }
      return runs.has(told.key) ? [] : [{ atMs: told.atMs, what: `${told.key} was returned and never ran` }];
    });
    return { judged: returned.length, violations };
  },

  'a stream loses, repeats or joins pieces': (history) => {
    const runs = runsByKey(history);
    const streams = eventsOfType(history, 'told').filter((told) => (told.pieces?.length ?? 0) > 0);
    const violations = streams.flatMap((told) => {
      const pieces = told.pieces ?? [];
      const first = pieces[0];
      const own = (runs.get(told.key) ?? []).some((run) => run.run === first?.run);
      const bad = pieces.find((piece, position) => piece.number !== position || piece.run !== first?.run);
      if (bad !== undefined) return [{ atMs: told.atMs, what: `${told.key}: piece ${bad.number} of ${bad.run} is out of place` }];
      return own ? [] : [{ atMs: told.atMs, what: `${told.key}: its stream is of another task's run` }];
    });
    return { judged: streams.length, violations };
  },

  'a replica gets tasks after its end was known': (history, bounds) => {
    const ended = new Map<string, number>();
    const violations: Violation[] = [];
    let judged = 0;
    const over = (replica: string, atMs: number): void => {
      // Only an end that lasted beyond the bound could have been ignored.
      if (atMs - (ended.get(replica) ?? atMs) > bounds.aboutTwoMs) judged += 1;
      ended.delete(replica);
    };
    for (const one of history) {
      if (one.type === 'replicaEnds') ended.set(one.replica, one.atMs);
      if (one.type === 'replicaBegins') over(one.replica, one.atMs);
      const endMs = one.type === 'ran' ? ended.get(one.replica) : undefined;
      if (one.type !== 'ran' || endMs === undefined) continue;
      const lateMs = (one.sentMs ?? one.atMs) - endMs;
      if (lateMs <= bounds.aboutTwoMs) continue;
      violations.push({ atMs: one.atMs, what: `${one.key} reached ${one.replica} ${Math.round(lateMs)} ms after its end was known` });
    }
    for (const replica of [...ended.keys()]) over(replica, history.at(-1)?.atMs ?? 0);
    return { judged, violations };
  },

  'a task goes to a service no setup allowed': (history) => {
    const planned = new Map(eventsOfType(history, 'planned').map((plan) => [plan.plan, plan.services]));
    const rejected = new Set(eventsOfType(history, 'rejected').map((one) => one.plan));
    // A plan whose outcome nobody learned may have allowed it.
    const allowed = new Set([...planned].flatMap(([plan, services]) => (rejected.has(plan) ? [] : services)));
    const violations = eventsOfType(history, 'ran').flatMap((run) =>
      allowed.has(run.service) ? [] : [{ atMs: run.atMs, what: `${run.key} ran at ${run.service}` }],
    );
    // What shows something is somebody asking for a service that was never allowed.
    const asked = eventsOfType(history, 'sent').filter((sent) => !allowed.has(sent.service)).length;
    return { judged: asked, violations };
  },

  ...configurationCheckers,
  ...orderCheckers,
  ...batchCheckers,
  'an accepted batch item waits too long for its start': itemStartChecker,
  "a branch's waiting work overruns its share": shareChecker,
  'service stays below a quarter after repair': recoveryChecker,
};
