import { isFinal } from './isFinal.js';
import type { Item } from './item.js';
import type { ResultView } from './resultView.js';

interface ResultPage {
  readonly results: ResultView[];
  /** Cursor of the next page. */
  readonly next: number;
  /** Whether this page reaches the last item. */
  readonly done: boolean;
}

/** Pages through a batch's results in item order. It remembers how far all items are final, so that reading on from a cursor is cheap. */
export class FinalResults {
  readonly #items: readonly Item[];
  /** All items before this position are final. */
  #finalUpTo = 0;

  constructor(items: readonly Item[]) {
    this.#items = items;
  }

  /** Up to `limit` results from cursor `after` on, ending at the first item that is not final. */
  page(after: number, limit: number): ResultPage {
    this.#advance();
    const next = Math.max(after, Math.min(this.#finalUpTo, after + limit));
    const results: ResultView[] = [];
    this.#items.slice(after, next).forEach(({ id, state, result }, offset) => {
      if (isFinal(state)) results.push({ id, position: after + offset, state, result });
    });
    return { results, next, done: next >= this.#items.length };
  }

  #advance(): void {
    for (let item = this.#items[this.#finalUpTo]; item !== undefined && isFinal(item.state); item = this.#items[this.#finalUpTo])
      this.#finalUpTo += 1;
  }
}
