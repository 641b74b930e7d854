import { describe, it } from 'node:test';
import { expect } from 'earl';
import { briefBounds, checkers, judge, verdictLine } from '../src/index.js';
import type { HistoryEvent } from '../src/index.js';

const share = { requests: 60, tokens: 6000 };
const bounds = { ...briefBounds, shares: new Map([['north', share]]) };
/** Bounds of a day that also promises when an accepted item starts. */
const startBounds = { ...bounds, itemStartMs: 4000 };
const itemStartRule = 'an accepted batch item waits too long for its start';
const ran = { type: 'ran', key: 'k', run: 'r/1', replica: 'r', service: 'ask', sentMs: 0 } as const;
const plan = { type: 'planned', services: ['ask'], quotas: ['live'], maxItems: 10 } as const;
const sent = { type: 'sent', key: 'k', service: 'ask', quota: 'live', front: 'f' } as const;
const allowed: HistoryEvent[] = [
  { ...plan, services: ['ask'], quotas: ['live'], atMs: 0, plan: 'p1' },
  { type: 'confirmed', atMs: 1, plan: 'p1', version: 1, inForce: true },
];
const pieces = [0, 1].map((number) => ({ run: 'r/1', number, of: 2 }));
const batchRead = { type: 'batchRead', batch: 'l', found: 'yes' } as const;
const accepted: HistoryEvent = { type: 'batchAccepted', atMs: 0, batch: 'l', quota: 'north', items: ['a', 'b'] };
/** A plan that prunes the service, and one that plants it again; each confirmed at once. */
const pruned: HistoryEvent[] = [
  { type: 'planned', atMs: 5, plan: 'p2', services: ['other'], quotas: ['live'], maxItems: 1 },
  { type: 'confirmed', atMs: 6, plan: 'p2', version: 2, inForce: true },
];

/** Orders, and what controllers answered. */
function order(name: string, basedOn: number, revision: number, wrong = false): HistoryEvent {
  return { type: 'ordered', atMs: 1440, order: name, basedOn, revision, wrong };
}
function answer(name: string, outcome: 'taken' | 'conflict' | 'invalid', atMs: number): HistoryEvent {
  return { type: 'orderAnswered', atMs, order: name, outcome, lost: true };
}

/** A small day on which nothing was wrong; every rule must accept it. */
const good: HistoryEvent[] = [
  ...allowed,
  { ...sent, atMs: 10, idempotent: false },
  { type: 'carriedUnder', atMs: 11, front: 'f', version: 1 },
  { ...ran, atMs: 12, sentMs: 11 },
  { type: 'told', atMs: 20, key: 'k', outcome: 'returned', pieces },
  { ...sent, key: 'g', service: 'ghost', atMs: 21, idempotent: true },
  { type: 'told', atMs: 22, key: 'g', outcome: 'refused', status: 404 },
  { type: 'replicaEnds', atMs: 30, replica: 'r' },
  { ...accepted, atMs: 100 },
  { ...batchRead, askedMs: 1200, atMs: 1201, results: [{ id: 'a', result: '1' }] },
  { ...batchRead, askedMs: 1250, atMs: 1270, found: 'silent', results: [] },
  {
    ...batchRead,
    askedMs: 1300,
    atMs: 1301,
    results: [
      { id: 'a', result: '1' },
      { id: 'b', result: '2' },
    ],
  },
  { type: 'configurationRead', askedMs: 1400, atMs: 1401, version: 1, plans: ['p1'] },
  // An order whose acknowledgement was lost, sent again, and one that lost the race.
  order('1/a', 0, 1),
  order('1/b', 0, 1),
  answer('1/a', 'taken', 1450),
  answer('1/b', 'conflict', 1451),
  answer('1/a', 'taken', 1460),
  { type: 'configurationRead', askedMs: 1461, atMs: 1462, version: 2, revision: 1, plans: ['p1'] },
  { type: 'batchEnded', atMs: 1500, batch: 'l' },
  { ...sent, key: 'late', atMs: 5000, idempotent: true },
  { type: 'told', atMs: 5001, key: 'late', outcome: 'refused', status: 503 },
];

/** Items of a branch that wait all along, and run at a pace. */
function waitingRuns(runs: number, everyMs: number, bytes: number): HistoryEvent[] {
  const items = Array.from({ length: runs + 1 }, (_, position) => `${position}`);
  const going = items.slice(0, runs).map((item, position): HistoryEvent => {
    const atMs = 100 + position * everyMs;
    return { ...ran, key: `l/${item}`, run: `r/${item}`, atMs, sentMs: atMs, quota: 'north', bytes };
  });
  return [
    { type: 'batchAccepted', atMs: 10, batch: 'l', quota: 'north', items },
    ...going,
    { ...sent, key: 'z', atMs: 70_000, idempotent: true },
  ];
}

function recovery(kind: 'streamed' | 'batch'): HistoryEvent[] {
  return [
    ...Array.from({ length: 100 }, (_, position): HistoryEvent[] => {
      const key = kind === 'batch' ? `l/${position}` : `k${position}`;
      const atMs = 10 + position * 10;
      return [
        { type: 'sent', atMs, key, service: 'ask', idempotent: true, kind },
        { ...ran, key, run: `r/${position}`, atMs },
        ...(kind === 'batch' ? [] : [{ type: 'told', atMs: atMs + 1, key, outcome: 'returned' } as const]),
      ];
    }).flat(),
    { type: 'faulted', atMs: 1100, what: 'x' },
    { type: 'repaired', atMs: 2000 },
    { ...sent, atMs: 20_000, key: 'last', idempotent: true },
  ];
}

/** For each rule, histories that break it and nothing else. */
const bad: Readonly<Record<string, readonly HistoryEvent[][]>> = {
  'an unrepeatable task runs twice': [
    [
      { ...sent, atMs: 2, idempotent: false },
      { ...ran, atMs: 3 },
      { ...ran, atMs: 4, run: 'r/2' },
    ],
  ],
  'a refused task runs after all': [
    [
      { type: 'told', atMs: 5, key: 'k', outcome: 'refused' },
      { ...ran, atMs: 6 },
    ],
    [
      { ...ran, atMs: 4 },
      { type: 'told', atMs: 5, key: 'k', outcome: 'refused' },
    ],
    [
      { type: 'batchRefused', atMs: 5, batch: 'l', items: ['a'] },
      { ...ran, key: 'l/a', atMs: 6 },
    ],
  ],
  'a success is not the whole, genuine return': [
    [
      { ...ran, atMs: 4 },
      { type: 'told', atMs: 5, key: 'k', outcome: 'returned', wrong: 'not genuine' },
    ],
    [
      { ...ran, atMs: 4 },
      { type: 'told', atMs: 5, key: 'k', outcome: 'returned', pieces: pieces.slice(0, 1) },
    ],
    [{ type: 'told', atMs: 5, key: 'k', outcome: 'returned' }],
  ],
  'a stream loses, repeats or joins pieces': [
    [
      { ...ran, atMs: 4 },
      { type: 'told', atMs: 5, key: 'k', outcome: 'cut', pieces: pieces.slice(1) },
    ],
    [
      { ...ran, atMs: 4 },
      { type: 'told', atMs: 5, key: 'k', outcome: 'cut', pieces: [...pieces, ...pieces.slice(1)] },
    ],
    [
      { ...ran, atMs: 4 },
      {
        type: 'told',
        atMs: 5,
        key: 'k',
        outcome: 'cut',
        pieces: [
          { run: 'r/1', number: 0, of: 2 },
          { run: 'r/2', number: 1, of: 2 },
        ],
      },
    ],
    [
      { ...ran, atMs: 4 },
      { type: 'told', atMs: 5, key: 'k', outcome: 'cut', pieces: [{ run: 'r/9', number: 0, of: 2 }] },
    ],
  ],
  'a replica gets tasks after its end was known': [
    [
      { type: 'replicaEnds', atMs: 5, replica: 'r' },
      { ...ran, atMs: 2400, sentMs: 2400 },
    ],
  ],
  'a task goes to a service no setup allowed': [
    [{ ...ran, atMs: 4, service: 'other' }],
    [
      { type: 'planned', atMs: 2, plan: 'p2', services: ['other'], quotas: ['live'] },
      { type: 'rejected', atMs: 3, plan: 'p2' },
      { ...ran, atMs: 4, service: 'other' },
    ],
  ],
  'a confirmed setup is ignored, or an old one returns': [
    [
      { type: 'confirmed', atMs: 5, plan: 'p2', version: 2, inForce: true },
      { type: 'carriedUnder', atMs: 2400, front: 'f', version: 1 },
    ],
    [
      { type: 'carriedUnder', atMs: 4, front: 'f', version: 2 },
      { type: 'carriedUnder', atMs: 5, front: 'f', version: 1 },
    ],
    // By behaviour: a pruned service is still taken; a lot larger than the bound is.
    [
      ...pruned,
      { ...sent, atMs: 3000, idempotent: true },
      { ...ran, atMs: 3001, sentMs: 3001 },
      { type: 'told', atMs: 3002, key: 'k', outcome: 'returned' },
    ],
    [...pruned, { ...accepted, atMs: 3000 }],
    // Refused as pruned, and then taken again with nothing changed in between.
    [
      { ...sent, key: 'j', atMs: 5000, idempotent: true },
      { type: 'told', atMs: 5001, key: 'j', outcome: 'refused', status: 404 },
      { ...sent, atMs: 5002, idempotent: true },
      { ...ran, atMs: 5003 },
      { type: 'told', atMs: 5004, key: 'k', outcome: 'returned' },
    ],
  ],
  'a confirmed setup is forgotten, or a refused one takes effect': [
    [
      { type: 'confirmed', atMs: 5, plan: 'p2', version: 2, inForce: true },
      { type: 'configurationRead', askedMs: 6, atMs: 7, version: 1, plans: ['p1'] },
    ],
    [
      { type: 'rejected', atMs: 5, plan: 'p2' },
      { type: 'configurationRead', askedMs: 6, atMs: 7, version: 2, plans: ['p1', 'p2'] },
    ],
    [{ type: 'confirmed', atMs: 5, plan: 'p2', version: 1, inForce: true }],
  ],
  'an accepted lot is lost, doubled or changed': [
    [accepted, { ...batchRead, askedMs: 1200, atMs: 1201, found: 'no', results: [] }],
    [
      accepted,
      { ...batchRead, askedMs: 1200, atMs: 9000, found: 'silent', results: [] },
      { ...batchRead, askedMs: 9100, atMs: 9101, results: [] },
    ],
    [
      accepted,
      {
        ...batchRead,
        askedMs: 50,
        atMs: 51,
        results: [
          { id: 'a', result: '1' },
          { id: 'a', result: '1' },
        ],
      },
    ],
    [accepted, { ...batchRead, askedMs: 50, atMs: 51, results: [{ id: 'b', result: '2' }] }],
    [
      accepted,
      { ...batchRead, askedMs: 50, atMs: 51, results: [{ id: 'a', result: '1' }] },
      { ...batchRead, askedMs: 60, atMs: 61, results: [{ id: 'a', result: '2' }] },
    ],
    [
      accepted,
      { ...batchRead, askedMs: 50, atMs: 51, results: [{ id: 'a', result: '1' }] },
      { ...batchRead, askedMs: 60, atMs: 61, results: [] },
    ],
  ],
  'an item of an ended lot starts': [
    [
      { type: 'batchEnded', atMs: 5, batch: 'l' },
      { ...ran, key: 'l/a', atMs: 3100, sentMs: 3100 },
    ],
  ],
  [itemStartRule]: [
    [
      { ...sent, key: 'l/a', kind: 'batch', atMs: 0, idempotent: true },
      { ...accepted, atMs: 3000 },
      { ...ran, key: 'l/a', atMs: 4100 },
    ],
    [accepted, { ...ran, key: 'l/a', atMs: 10 }, { type: 'batchEnded', atMs: 4100, batch: 'l' }],
    [accepted, { ...ran, key: 'l/a', atMs: 10 }, { ...sent, key: 'z', atMs: 5000, idempotent: true }],
  ],
  'an order has two outcomes, or two orders one number': [
    [order('1/a', 0, 1), answer('1/a', 'taken', 1450), answer('1/a', 'conflict', 1460)],
    [order('1/a', 0, 1), answer('1/a', 'invalid', 1450), answer('1/a', 'taken', 1460)],
    [order('1/a', 0, 1), order('1/b', 3, 1), answer('1/a', 'taken', 1450), answer('1/b', 'taken', 1460)],
    [order('1/a', 0, 1), order('2/b', 0, 2), answer('1/a', 'taken', 1450), answer('2/b', 'taken', 1460)],
    [order('1/a', 0, 1, true), answer('1/a', 'taken', 1450)],
    [
      order('1/a', 0, 1),
      answer('1/a', 'taken', 1450),
      { type: 'configurationRead', askedMs: 1451, atMs: 1452, version: 2, revision: 0, plans: ['p1'] },
    ],
  ],
  "a branch's waiting work overruns its share": [waitingRuns(80, 700, 100), waitingRuns(50, 1200, 600)],
  'service stays below a quarter after repair': [recovery('streamed'), recovery('batch')],
};

/** The other rules' histories leave items waiting at will, so that only its own are judged by the bound on starts. */
const broken = (history: readonly HistoryEvent[], rule: string): readonly string[] =>
  judge(history, rule === itemStartRule ? startBounds : bounds).flatMap(({ rule, violations }) => (violations.length > 0 ? [rule] : []));

describe('the history checkers', () => {
  it('accept a good day', () => {
    expect(judge(good, startBounds).flatMap(({ violations }) => violations)).toEqual([]);
  });

  it('say what they judged, and that nothing was judged where nothing was', () => {
    const lines = judge(good, startBounds).map(verdictLine);
    expect(lines.filter((line) => line.startsWith('NOT JUDGED'))).toEqual([
      'NOT JUDGED a confirmed setup is ignored, or an old one returns',
      "NOT JUDGED a branch's waiting work overruns its share",
      'NOT JUDGED service stays below a quarter after repair',
    ]);
    expect(judge([], startBounds).every(({ judged }) => judged === 0)).toEqual(true);
  });

  it('have a known-bad history for every rule', () => {
    expect(Object.keys(bad).sort()).toEqual(Object.keys(checkers).sort());
  });

  for (const [rule, histories] of Object.entries(bad)) {
    it(`reject, and for that reason alone: ${rule}`, () => {
      for (const history of histories) expect(broken([...allowed, ...history], rule)).toEqual([rule]);
    });
  }

  it('find the share kept, by requests and tokens, at the pace of the share', () => {
    const verdict = judge([...allowed, ...waitingRuns(64, 1000, 300)], bounds).find(({ rule }) => rule.includes('share'));
    expect([verdict?.judged === 64, verdict?.violations]).toEqual([true, []]);
  });
});
