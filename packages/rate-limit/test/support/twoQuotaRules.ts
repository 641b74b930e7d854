import { QuotaTree } from '../../src/index.js';
import type { CounterRules } from '../../src/index.js';
import { quotaName } from './quotaName.js';

const a = quotaName('a');
const b = quotaName('b');

/** Two quotas that lend, each with half of 1200 requests and 120,000 tokens a minute. */
export function twoQuotaRules(): CounterRules {
  const tree = new QuotaTree(
    new Map([
      [a, { share: 0.5, lends: true }],
      [b, { share: 0.5, lends: true }],
    ]),
  );
  return {
    ceiling: { requests: 1200, tokens: 120_000 },
    tree,
    waitingRatio: 0.1,
    liveRatio: 0.5,
    fallbackRatio: 0.5,
    fronts: 1,
    frontSilenceMs: 1000,
  };
}
