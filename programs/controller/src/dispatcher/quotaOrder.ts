import type { QuotaName } from '@pewterlanding/model';

/** A quota and its load: its items in flight in proportion to its share. */
interface LoadedQuota {
  readonly quota: QuotaName;
  readonly load: number;
}

/** Quotas in ascending order of load, equal ones by name. Only the quota that was taken out and put back moves. */
export class QuotaOrder {
  readonly #quotas: LoadedQuota[];

  constructor(quotas: readonly LoadedQuota[]) {
    this.#quotas = [...quotas].sort(compare);
  }

  /** Takes out the quota with the least load. */
  shift(): QuotaName | undefined {
    return this.#quotas.shift()?.quota;
  }

  /** Puts a quota in at its place, found by binary search. */
  insert(quota: LoadedQuota): void {
    let low = 0;
    let high = this.#quotas.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#quotas[middle];
      if (other !== undefined && compare(other, quota) < 0) low = middle + 1;
      else high = middle;
    }
    this.#quotas.splice(low, 0, quota);
  }
}

function compare(a: LoadedQuota, b: LoadedQuota): number {
  return a.load - b.load || (a.quota < b.quota ? -1 : 1);
}
