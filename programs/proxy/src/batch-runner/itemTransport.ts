import type { ItemAttempt } from './itemAttempt.js';
import type { ItemEnd } from './itemEnd.js';

/** The way of opaque items to replicas. Events are told as they come, those of a stream that breaks too. */
export interface ItemTransport {
  run(attempt: ItemAttempt, event: (id: string | undefined, data: string) => void, abort: AbortSignal): Promise<ItemEnd>;
}
