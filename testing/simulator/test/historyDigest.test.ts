import { describe, it } from 'node:test';
import { expect } from 'earl';
import { digestDifferences, historyDigest } from '../src/index.js';
import type { HistoryEvent } from '../src/index.js';

const sent: HistoryEvent = { type: 'sent', atMs: 1, key: 'one', service: 'chat', idempotent: true };
const told: HistoryEvent = { type: 'told', atMs: 2.5, key: 'one', outcome: 'returned', status: 200 };
const accepted: HistoryEvent = { type: 'batchAccepted', atMs: 3, batch: 'lot', quota: 'blue', items: ['a', 'b'] };
const history = [sent, told, accepted];
const digest = historyDigest(history);

describe('the digest of a history', () => {
  it('is the same for the same history', () => {
    expect(historyDigest(structuredClone(history))).toEqual(digest);
  });

  it('stays the same where fields and strings are renamed consistently', () => {
    const renamed = [
      { kind: 'requested', timeMs: 1, id: 'eins', model: 'talk', idempotent: true },
      { kind: 'responded', timeMs: 2.5, id: 'eins', result: 'ok', code: 200 },
      { kind: 'batchAccepted', timeMs: 3, batch: 'x', tenant: 'y', items: ['p', 'q'] },
    ];
    expect(historyDigest(renamed)).toEqual(digest);
  });

  const changed: Readonly<Record<string, readonly object[]>> = {
    'a time': [sent, { ...told, atMs: 2.6 }, accepted],
    'a boolean': [{ ...sent, repeatable: false }, told, accepted],
    'the order of events': [told, sent, accepted],
    'a missing event': [sent, accepted],
    'a missing last event': [sent, told],
    'an event that comes twice': [sent, sent, told, accepted],
    'a string that no longer equals an earlier one': [sent, { ...told, key: 'two' }, accepted],
    'a string that equals an earlier one': [sent, told, { ...accepted, lot: 'one' }],
    'a field more': [{ ...sent, branch: 'one' }, told, accepted],
    'an element less': [sent, told, { ...accepted, items: ['a'] }],
    'the grouping of equal leaves': [sent, told, { t: 'lotAccepted', atMs: 3, lot: ['lot', 'blue'], items: ['a', 'b'] }],
    'a number in place of a string': [sent, told, { ...accepted, lot: 0 }],
    'the order of fields': [{ t: 'sent', key: 'one', atMs: 1, service: 'chat', repeatable: true }, told, accepted],
  };
  for (const [what, other] of Object.entries(changed))
    it(`differs by ${what}`, () => {
      expect(historyDigest(other)).not.toEqual(digest);
    });
});

describe('a list of digests, compared with a recorded one', () => {
  const recorded = '# case events digest\nday:1 10 aa\nday:2 20 bb\n';

  it('is equal where only names of cases differ', () => {
    expect(digestDifferences(recorded, ['renamed:1 10 aa', 'day:2 20 bb'])).toEqual([]);
  });

  it('names the case whose digest or number of events differs', () => {
    expect(digestDifferences(recorded, ['day:1 10 ab', 'day:2 21 bb'])).toEqual([
      'differs: day:1 10 ab, recorded as day:1 10 aa',
      'differs: day:2 21 bb, recorded as day:2 20 bb',
    ]);
  });

  it('differs by a case that is missing or not recorded', () => {
    expect(digestDifferences(recorded, ['day:1 10 aa']).length).toEqual(1);
    expect(digestDifferences(recorded, ['day:1 10 aa', 'day:2 20 bb', 'day:3 1 cc']).length).toEqual(1);
  });
});
