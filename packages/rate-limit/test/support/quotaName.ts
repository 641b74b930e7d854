import * as v from 'valibot';
import { QuotaName } from '@pewterlanding/model';

export function quotaName(text: string): QuotaName {
  return v.parse(QuotaName, text);
}
