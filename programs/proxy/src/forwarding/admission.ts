import type { QuotaName, Service } from '@pewterlanding/model';
import type { Cost } from '@pewterlanding/rate-limit';

/** What an admitted request is charged and forwarded by. */
export interface Admission {
  readonly kind: 'admitted';
  readonly quota: QuotaName;
  readonly rule: Service;
  readonly cost: Cost;
}
