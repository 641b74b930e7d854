import { entriesOf } from '@pewterlanding/model';
import type { Configuration } from '@pewterlanding/model';
import type { Effect } from './effect.js';
import { configurationShardName } from './configurationShardName.js';
import { wantedShards } from '../placement/wantedShards.js';

type Members = NonNullable<ReturnType<ReturnType<typeof wantedShards>['get']>>;

/** What confirming would do beyond the document: removed quotas with items waiting, fewer copies, moves. `waiting` is by quota. */
export function configurationEffects(
  next: Configuration,
  now: Configuration | undefined,
  waiting: Readonly<Record<string, number>>,
): readonly Effect[] {
  const removals = now === undefined ? [] : [...quotaEffects(next, now, waiting), ...serviceEffects(next, now)];
  // Where machines join by announcing themselves, members follow from who is there, whatever the configuration says.
  if (next.joining) return removals;
  return [...removals, ...copyEffects(next, now), ...moveEffects(next, now)];
}

function quotaEffects(next: Configuration, now: Configuration, waiting: Readonly<Record<string, number>>): readonly Effect[] {
  const removed = entriesOf(now.quotas).filter(([name]) => next.quotas[name] === undefined);
  return removed.map(([name]) => {
    const items = waiting[name] ?? 0;
    if (items === 0) return { effect: `removes quota ${name}`, needsAcknowledgement: false };
    const effect = `removes quota ${name}, which has ${items} items waiting; they stay queued until it is added again`;
    return { effect, needsAcknowledgement: true };
  });
}

function serviceEffects(next: Configuration, now: Configuration): readonly Effect[] {
  const removed = entriesOf(now.services).filter(([name]) => next.services[name] === undefined);
  return removed.map(([name]) => ({ effect: `ends service ${name}`, needsAcknowledgement: true }));
}

/** Shards that have fewer copies than before, or begin with fewer than the configuration asks for. */
function copyEffects(next: Configuration, now: Configuration | undefined): readonly Effect[] {
  const effects: Effect[] = [];
  const before = now === undefined ? undefined : wantedShards(now);
  for (const [shard, members] of wantedShards(next)) {
    const previous = before?.get(shard);
    const copies = `${members.length} ${members.length === 1 ? 'copy' : 'copies'}`;
    const isReduced = previous !== undefined && members.length < previous.length;
    const isShort = before === undefined && members.length < next.copies && shard !== configurationShardName;
    if (isReduced) effects.push({ effect: `leaves ${shard} with ${copies}`, needsAcknowledgement: true });
    if (isShort) effects.push({ effect: `bootstraps ${shard} with ${copies}`, needsAcknowledgement: true });
  }
  return effects;
}

function moveEffects(next: Configuration, now: Configuration | undefined): readonly Effect[] {
  if (now === undefined) return [];
  const before = wantedShards(now);
  const moved = [...wantedShards(next)].filter(([shard, members]) => hasNewMember(members, before.get(shard)));
  if (moved.length === 0) return [];
  return [{ effect: `moves copies of ${moved.length} shards`, needsAcknowledgement: false }];
}

/** Whether a shard that was there before has a member that it did not have. */
function hasNewMember(members: Members, previous: Members | undefined): boolean {
  if (previous === undefined) return false;
  return members.some(({ name, address }) => !previous.some((other) => other.name === name && other.address === address));
}
