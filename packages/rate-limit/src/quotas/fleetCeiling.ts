import { entriesOf } from '@pewterlanding/model';
import type { Configuration } from '@pewterlanding/model';
import type { Cost } from '../buckets/index.js';

/** Upper bound of a slot's requests a minute: no generation is shorter than a tenth of a second. */
const maxRequestsPerSlot = 600;
/** Assumed input and output tokens of a request, where no engine is stated. */
const tokensPerRequest = 1000;

/**
 * The fleet's ceiling, requests and tokens a minute: as operators state it, or else a bound of what the replicas can do.
 * The latter assumes that an engine reads its whole memory once a second, which none does: it limits faults, not regular work.
 */
export function fleetCeiling(configuration: Configuration, slots: ReadonlyMap<string, number>): Cost {
  if (configuration.ceiling !== undefined) return configuration.ceiling;
  let requests = 1;
  let tokens = 1;
  for (const [name, { engine }] of entriesOf(configuration.services)) {
    const slotCount = slots.get(name) ?? 0;
    requests += slotCount * maxRequestsPerSlot;
    tokens +=
      engine === undefined
        ? slotCount * maxRequestsPerSlot * tokensPerRequest
        : Math.ceil((slotCount / engine.slots) * engine.memoryTokens * 60);
  }
  return { requests, tokens };
}
