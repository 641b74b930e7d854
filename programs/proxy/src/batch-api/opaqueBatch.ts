import type { ItemId, BatchId, RouteName } from '@pewterlanding/model';
import type { ItemTask } from '@pewterlanding/store';

/** A lot of opaque items as a downstream hands it in, its route found already. */
export interface OpaqueBatch {
  readonly id: BatchId;
  readonly route: RouteName;
  readonly items: readonly (ItemTask & { readonly id: ItemId; readonly tokens: number })[];
}
