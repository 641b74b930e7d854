import { check, entriesOf, Configuration } from '@pewterlanding/model';
import { QuotaTree, fleetCeiling, shareOf } from '@pewterlanding/rate-limit';
import { HarnessError } from '../errors/index.js';
import type { Deployment } from './deployment.js';

/** The shares a minute of the quotas that hand in batches. */
export function waitingShares(configuration: unknown, traffic: Deployment['traffic']) {
  const read = check(Configuration, configuration);
  if (!read.ok) throw new HarnessError('the setup cannot be read');
  const { quotas } = read.value;
  const ceiling = fleetCeiling(read.value, new Map());
  const tree = new QuotaTree(new Map(entriesOf(quotas)));
  const named = new Set(traffic.flatMap((one) => (one.batchItems === undefined ? [] : one.quotas)));
  return new Map(tree.names().flatMap((name) => (named.has(name) ? [[name, shareOf(ceiling, tree.ownShare(name))] as const] : [])));
}
