import type { QuotaName } from '@pewterlanding/model';
import type { Cost } from '../buckets/cost.js';

/** What was taken for one item, and from whose purses. */
export interface Reservation {
  readonly quota: QuotaName;
  readonly from: QuotaName;
  readonly cost: Cost;
}
