import type { Checker } from './checker.js';
import type { Violation } from './violation.js';
import { eventsOfType } from '../history/index.js';

/** What is promised about orders that are planned, checked and confirmed in one call. */
export const orderCheckers: Readonly<Record<string, Checker>> = {
  'an order has two outcomes, or two orders one number': (history) => {
    const orders = new Map(eventsOfType(history, 'ordered').map((one) => [one.order, one]));
    const answers = eventsOfType(history, 'orderAnswered');
    const violations: Violation[] = [];
    const first = new Map<string, string>();
    const numbers = new Map<number, string>();
    const bases = new Map<number, string>();
    for (const { order, outcome, atMs } of answers) {
      const sent = orders.get(order);
      if (sent === undefined) continue;
      const before = first.get(order);
      if (before === undefined) first.set(order, outcome);
      // A refusal is final too: the version that the order builds on never comes back.
      else if ((before === 'taken') !== (outcome === 'taken'))
        violations.push({ atMs, what: `${order} was answered ${before} and then ${outcome}` });
      if (outcome !== 'taken') continue;
      if (sent.wrong) violations.push({ atMs, what: `${order} must not be taken` });
      const sameNumber = numbers.get(sent.revision) ?? order;
      if (sameNumber !== order) violations.push({ atMs, what: `${sameNumber} and ${order} were both taken under ${sent.revision}` });
      numbers.set(sent.revision, order);
      const sameBase = bases.get(sent.basedOn) ?? order;
      if (sameBase !== order) violations.push({ atMs, what: `${sameBase} and ${order} were both taken on ${sent.basedOn}` });
      bases.set(sent.basedOn, order);
    }
    // What was taken stays: no later read shows an older number.
    for (const read of eventsOfType(history, 'configurationRead')) {
      const known = answers.filter((one) => one.outcome === 'taken' && one.atMs <= read.askedMs);
      const newest = known.reduce((limit, one) => Math.max(limit, orders.get(one.order)?.revision ?? 0), 0);
      if ((read.revision ?? 0) < newest)
        violations.push({ atMs: read.atMs, what: `read number ${read.revision ?? 0}, ${newest} was taken before` });
    }
    return { judged: answers.length, violations };
  },
};
