import type { ItemAttempt } from './itemAttempt.js';
import type { ItemEnd } from './itemEnd.js';

/** Sends opaque items to replicas. Never rejects. */
export interface ItemTransport {
  /** Calls `event` with each event as it comes, those of a stream that breaks later too. */
  run(attempt: ItemAttempt, event: (id: string | undefined, data: string) => void, abort: AbortSignal): Promise<ItemEnd>;
}
