import type { ItemState } from './itemState.js';

/** Whether an item in this state has finished; a final state never changes. */
export function isFinal(state: ItemState): state is 'COMPLETED' | 'FAILED' | 'ENDED' {
  return state === 'COMPLETED' || state === 'FAILED' || state === 'ENDED';
}
