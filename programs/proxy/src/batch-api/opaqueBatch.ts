import type { ItemId, BatchId, RouteName } from '@pewterlanding/model';
import type { ItemTask } from '@pewterlanding/store';

/** A batch of opaque items as a downstream submits it. Its route is matched before. */
export interface OpaqueBatch {
  /** Chosen by the downstream; a repeat under the same id is stored once. */
  readonly id: BatchId;
  readonly route: RouteName;
  readonly items: readonly (ItemTask & { readonly id: ItemId; readonly tokens: number })[];
}
