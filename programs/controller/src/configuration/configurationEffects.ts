import { entriesOf } from '@pewterlanding/model';
import type { Configuration } from '@pewterlanding/model';
import type { Effect } from './effect.js';
import { wantedShards } from '../placement/wantedShards.js';

/** What confirming would do beyond the document: pruned branches with waiting lots, thinner parts, moves. */
export function configurationEffects(
  next: Configuration,
  now: Configuration | undefined,
  waiting: Readonly<Record<string, number>>,
): readonly Effect[] {
  const effects: Effect[] = [];
  const say = (effect: string, needsAcknowledgement: boolean): void => {
    effects.push({ effect, needsAcknowledgement });
  };
  for (const [name] of entriesOf(now?.quotas ?? {})) {
    if (next.quotas[name] !== undefined) continue;
    const items = waiting[name] ?? 0;
    say(
      items > 0
        ? `prunes branch ${name}, which has ${items} items waiting; they stay queued until it is planted again`
        : `prunes branch ${name}`,
      items > 0,
    );
  }
  for (const [name] of entriesOf(now?.services ?? {})) if (next.services[name] === undefined) say(`ends service ${name}`, true);
  // Where machines join, seats follow from who is here, whatever the setup says.
  if (next.joining) return effects;
  const before = now === undefined ? undefined : wantedShards(now);
  let moved = 0;
  for (const [shard, places] of wantedShards(next)) {
    const were = before?.get(shard);
    if (were !== undefined && places.length < were.length)
      say(`leaves ${shard} with ${places.length} ${places.length === 1 ? 'copy' : 'copies'}`, true);
    else if (before === undefined && places.length < next.copies && shard !== 'setup')
      say(`founds ${shard} with ${places.length} ${places.length === 1 ? 'copy' : 'copies'}`, true);
    if (were !== undefined && places.some((place) => !were.some((other) => other.name === place.name && other.address === place.address)))
      moved += 1;
  }
  if (moved > 0) say(`moves copies of ${moved} parts`, false);
  return effects;
}
