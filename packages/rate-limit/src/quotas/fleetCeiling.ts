import { entriesOf } from '@pewterlanding/model';
import type { Configuration } from '@pewterlanding/model';
import type { Cost } from '../buckets/cost.js';

/** A slot takes at most so many requests in a minute: a shorter one than a tenth of a second is no generation. */
const turnsPerMinute = 600;
/** What a minute may read and put out beside each slot, where no engine is stated. */
const tokensPerRequest = 1000;

/**
 * The ceiling a minute: what operators state, or else what the replicas can do. A memory turned over once a second
 * is more than any engine reads, so that a ceiling worked out bounds a fault and not the work.
 */
export function fleetCeiling(configuration: Configuration, slots: ReadonlyMap<string, number>): Cost {
  if (configuration.ceiling !== undefined) return configuration.ceiling;
  let requests = 1;
  let tokens = 1;
  for (const [name, { engine }] of entriesOf(configuration.services)) {
    const held = slots.get(name) ?? 0;
    requests += held * turnsPerMinute;
    tokens += engine === undefined ? held * turnsPerMinute * tokensPerRequest : Math.ceil((held / engine.slots) * engine.memoryTokens * 60);
  }
  return { requests, tokens };
}
