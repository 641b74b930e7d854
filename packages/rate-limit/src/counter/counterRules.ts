import type { QuotaTree } from '../quotas/quotaTree.js';
import type { Cost } from '../buckets/cost.js';

/** What the counter works by; ratios to the fleet's ceiling a minute. */
export interface CounterRules {
  readonly ceiling: Cost;
  readonly tree: QuotaTree;
  /** Waiting work may hold so much of a minute's share at once; at most a tenth, or it would pass its share in the first minute. */
  readonly waitingRatio: number;
  /** Live work may hold so much of a minute's share at once. */
  readonly liveRatio: number;
  /** The part of the ceiling that fronts may use without the counter, all together. */
  readonly fallbackRatio: number;
  readonly fronts: number;
  /** A front not heard from for so long is taken to be on its own. */
  readonly frontSilenceMs: number;
}
