import type { HollowPlace } from './hollowPlace.js';
import type { HollowResponse } from './hollowResponse.js';

const roles = ['agent', 'controller', 'store'] as const;

/** What one node of each role sent, took and worked in a second, and what its process holds. */
export function hollowRates(
  places: readonly HollowPlace[],
  before: readonly HollowResponse[],
  after: readonly HollowResponse[],
  spanMs: number,
): readonly string[] {
  const rate = (key: string, nodes: number): number => ((sum(after, key) - sum(before, key)) / nodes / spanMs) * 1000;
  const lines = roles.map((role) => {
    const nodes = places.filter((place) => place.role === role).length;
    const keys = [...new Set(after.flatMap((word) => Object.keys(word.counts ?? {})))].filter((key) => key.startsWith(`${role} `)).sort();
    const shown = keys.flatMap((key) => {
      const each = rate(key, nodes);
      return each < 0.005 ? [] : [`${key.slice(role.length + 1)} ${each < 10 ? each.toFixed(2) : Math.round(each)}`];
    });
    return `${role}, each in a second: ${shown.join(', ')}`;
  });
  const processes = after.map((word, worker) => {
    const nodes = Math.max(1, places.filter((place) => place.worker === worker).length);
    const cores = ((word.cpuMs ?? 0) - (before[worker]?.cpuMs ?? 0)) / spanMs;
    const each = `${((cores / nodes) * 100).toFixed(2)} % of a core and ${((word.rssMb ?? 0) / nodes).toFixed(1)} MB a node`;
    const late = `loop late by ${(word.lagMs ?? 0).toFixed(0)} ms in the worst hundredth`;
    return `${worker === 0 ? 'controllers and stores' : 'fronts'}: ${each}, ${late}`;
  });
  return [...lines, ...processes];
}

function sum(words: readonly HollowResponse[], key: string): number {
  return words.reduce((all, word) => all + (word.counts?.[key] ?? 0), 0);
}
