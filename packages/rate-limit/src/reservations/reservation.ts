import type { QuotaName } from '@pewterlanding/model';
import type { Cost } from '../buckets/index.js';

/** What was taken for one item. */
export interface Reservation {
  readonly quota: QuotaName;
  /** The quota whose buckets it was taken from: its own, or a lender's. */
  readonly from: QuotaName;
  readonly cost: Cost;
}
