import type { QuotaTree } from './quotaTree.js';
import type { Cost } from '../buckets/index.js';

/** The configuration of a counter; ratios are of a minute's share. */
export interface CounterRules {
  readonly ceiling: Cost;
  readonly tree: QuotaTree;
  /** Burst of waiting work. At most a tenth: in any minute a quota can spend its share and one burst, so it bounds the overrun. */
  readonly waitingRatio: number;
  /** Burst of all work. */
  readonly liveRatio: number;
  /** The part of the ceiling that all fronts together may use while they do not reach the counter. */
  readonly fallbackRatio: number;
  /** How many fronts the fallback allowance is divided among. */
  readonly fronts: number;
  /** A front that was silent for longer is assumed to use its fallback allowance. Also how long live need keeps a quota from lending. */
  readonly frontSilenceMs: number;
}
