import type { ExplorationScope } from './explorationScope.js';
import type { ExploredAction } from './exploredAction.js';
import { ExploredGroup } from './exploredGroup.js';

interface ExploreOptions {
  readonly scope: ExplorationScope;
  /** So many actions deep from the group at rest. */
  readonly depth: number;
  readonly maxStates: number;
  /** One in so many ways is followed on until the group serves again. */
  readonly settleEvery: number;
}

interface Explored {
  readonly scope: string;
  readonly states: number;
  readonly ways: number;
  /** Ways that were followed on until the group served again. */
  readonly settled: number;
  readonly depth: number;
  /** What ended it: all states up to the depth were seen, or as many as were asked for. */
  readonly stopped: 'complete' | 'depth' | 'states';
  readonly failure?: { readonly what: string; readonly way: readonly ExploredAction[] };
}

/** Where a way leaves one that was followed before. */
interface Quota {
  readonly way: readonly ExploredAction[];
}

/**
 * Every order in which messages arrive, syncs end and the actions of a scope come, up to a depth. States are told apart by what each
 * machine lived through in its order, which all that it holds and has sent follows from: actions at different machines that do not
 * depend on each other are not told apart by their order. Each way is played from the beginning, for the shipped classes can't be
 * taken back.
 */
export async function explore({ scope, depth, maxStates, settleEvery }: ExploreOptions): Promise<Explored> {
  const seen = new Set<string>();
  const quotas: Quota[] = [{ way: [] }];
  let ways = 0;
  let settled = 0;
  let cut = false;
  const result = (stopped: Explored['stopped']): Explored => ({ scope: scope.name, states: seen.size, ways, settled, depth, stopped });
  for (let quota = quotas.pop(); quota !== undefined; quota = quotas.pop()) {
    if (seen.size >= maxStates) return result('states');
    const group = new ExploredGroup(scope);
    const way = [...quota.way];
    try {
      await group.begin();
      for (const action of way) await group.take(action);
      cut = (await follow(group, way, { seen, quotas, depth })) || cut;
      ways += 1;
      if (ways % settleEvery === 0) {
        settled += 1;
        await group.settle();
      }
    } catch (error) {
      return { ...result('depth'), failure: { what: String(error), way } };
    } finally {
      group.close();
    }
  }
  return result(cut ? 'depth' : 'complete');
}

interface Course {
  readonly seen: Set<string>;
  readonly quotas: Quota[];
  readonly depth: number;
}

/** Goes on by the first action that leads anywhere new; the others are kept for later. True where the depth ended it. */
async function follow(group: ExploredGroup, way: ExploredAction[], { seen, quotas, depth }: Course): Promise<boolean> {
  for (;;) {
    const fresh = group.actions().filter((action) => {
      const state = group.printAfter(action);
      const isNew = !seen.has(state);
      seen.add(state);
      return isNew;
    });
    if (way.length >= depth && fresh.length > 0) return true;
    const [first, ...others] = fresh;
    for (const action of others) quotas.push({ way: [...way, action] });
    if (first === undefined) return false;
    way.push(first);
    await group.take(first);
  }
}
