import type { RegisterOperation } from './registerOperation.js';
import type { RegisterState } from './registerState.js';
import { stepRegister } from './stepRegister.js';

interface Verdict {
  readonly linearizable: boolean;
  /** The most operations that could be put in an order, for a reader who looks for the one that does not fit. */
  readonly placed: number;
  /** How many states the search saw. */
  readonly states: number;
}

/** How far a search has come: what the register holds, and which operations had their effect and which their answer. */
interface Point {
  readonly state: RegisterState;
  readonly effected: ReadonlySet<number>;
  readonly answered: ReadonlySet<number>;
}

const empty: RegisterState = { version: 0, content: { revision: 0, token: '', services: [] }, taken: [] };

/**
 * Whether the operations can be put in one order that a register without faults would answer alike, each between its beginning
 * and its end (Wing and Gong's search, which remembers the points it has been at). An operation without an answer may have its
 * effect at any time after its beginning, or never. One with an answer may have been tried several times before that: its effect
 * then came with an earlier try, and its answer is that of a repeat.
 */
export function linearize(operations: readonly RegisterOperation[]): Verdict {
  const toAnswer = operations.filter(({ ended }) => ended !== undefined).length;
  const seen = new Set<string>();
  const stack: Point[] = [{ state: empty, effected: new Set(), answered: new Set() }];
  let placed = 0;
  for (let point = stack.pop(); point !== undefined; point = stack.pop()) {
    placed = Math.max(placed, point.answered.size);
    if (point.answered.size === toAnswer) return { linearizable: true, placed, states: seen.size };
    const key = keyOf(point);
    if (seen.has(key)) continue;
    seen.add(key);
    stack.push(...pointsAfter(point, operations));
  }
  return { linearizable: false, placed, states: seen.size };
}

function pointsAfter({ state, effected, answered }: Point, operations: readonly RegisterOperation[]): readonly Point[] {
  // An operation may come next only if no other one that is left ended before it began.
  const firstEnd = Math.min(...operations.map(({ ended }, at) => (answered.has(at) ? Infinity : (ended ?? Infinity))));
  return operations.flatMap(({ order, began, answer }, at) => {
    if (answered.has(at) || began > firstEnd) return [];
    const { next, answer: due } = stepRegister(state, order);
    const points: Point[] = [];
    if (!effected.has(at) && next !== state) points.push({ state: next, effected: new Set([...effected, at]), answered });
    if (answer !== undefined && JSON.stringify(answer) === JSON.stringify(due))
      points.push({ state: next, effected, answered: new Set([...answered, at]) });
    return points;
  });
}

function keyOf({ state, effected, answered }: Point): string {
  const sorted = (all: ReadonlySet<number>): string => [...all].sort((a, b) => a - b).join(',');
  return `${sorted(effected)};${sorted(answered)};${JSON.stringify(state)}`;
}
