import { entriesOf } from '@pewterlanding/model';
import type { Configuration } from '@pewterlanding/model';
import type { Effect } from './effect.js';
import { configurationShardName } from './configurationShardName.js';
import { wantedShards } from '../placement/wantedShards.js';

/** What confirming would do beyond the document: removed quotas with items waiting, fewer copies, moves. `waiting` is by quota. */
export function configurationEffects(
  next: Configuration,
  now: Configuration | undefined,
  waiting: Readonly<Record<string, number>>,
): readonly Effect[] {
  const effects: Effect[] = [];
  const add = (effect: string, needsAcknowledgement: boolean): void => {
    effects.push({ effect, needsAcknowledgement });
  };
  for (const [name] of entriesOf(now?.quotas ?? {})) {
    if (next.quotas[name] !== undefined) continue;
    const items = waiting[name] ?? 0;
    add(
      items > 0
        ? `removes quota ${name}, which has ${items} items waiting; they stay queued until it is added again`
        : `removes quota ${name}`,
      items > 0,
    );
  }
  for (const [name] of entriesOf(now?.services ?? {})) if (next.services[name] === undefined) add(`ends service ${name}`, true);
  // Where machines join by announcing themselves, members follow from who is there, whatever the configuration says.
  if (next.joining) return effects;
  const before = now === undefined ? undefined : wantedShards(now);
  let moved = 0;
  for (const [shard, places] of wantedShards(next)) {
    const were = before?.get(shard);
    if (were !== undefined && places.length < were.length)
      add(`leaves ${shard} with ${places.length} ${places.length === 1 ? 'copy' : 'copies'}`, true);
    else if (before === undefined && places.length < next.copies && shard !== configurationShardName)
      add(`bootstraps ${shard} with ${places.length} ${places.length === 1 ? 'copy' : 'copies'}`, true);
    if (were !== undefined && places.some((place) => !were.some((other) => other.name === place.name && other.address === place.address)))
      moved += 1;
  }
  if (moved > 0) add(`moves copies of ${moved} shards`, false);
  return effects;
}
