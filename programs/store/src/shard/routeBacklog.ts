import type { RouteName } from '@pewterlanding/model';
import type { Batch } from '../batch/index.js';

/** Stated tokens of the items that are not final, summed by route; batches without a route don't count. */
export class RouteBacklog {
  readonly #tokens = new Map<RouteName, number>();

  tokens(route: RouteName): number {
    return this.#tokens.get(route) ?? 0;
  }

  /** Whether a new batch would bring its route above `limit` tokens; a limit of 0 means none. */
  isFullFor(batch: Batch, limit: number): boolean {
    const route = batch.record.route?.name;
    if (route === undefined || limit <= 0) return false;
    return this.tokens(route) + batch.waitingTokens > limit;
  }

  /** Adds `tokens`, which may be negative, to the sum of the batch's route. */
  add({ record }: Batch, tokens: number): void {
    const route = record.route?.name;
    if (route === undefined || tokens === 0) return;
    const sum = this.tokens(route) + tokens;
    if (sum === 0) this.#tokens.delete(route);
    else this.#tokens.set(route, sum);
  }

  clear(): void {
    this.#tokens.clear();
  }
}
