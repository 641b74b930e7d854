import { headerOf } from '../headers/headerOf.js';
import type { HeaderNames } from '../headers/headerNames.js';
import type { ItemEnd } from './itemEnd.js';

/** How an item ends by the head of its response alone. Undefined for a success, which is known only at its last byte. */
export function responseHeadEnd(status: number, headers: readonly string[], { seal, notRun }: HeaderNames): ItemEnd | undefined {
  const isSuccess = status >= 200 && status <= 299;
  if (!isSuccess) {
    const hasNotRun = status >= 400 && headerOf(headers, notRun) !== undefined;
    return { kind: hasNotRun ? 'notRun' : 'status', status };
  }
  if (headerOf(headers, seal) === undefined || headerOf(headers, 'content-encoding') !== undefined)
    return { kind: 'broken', reason: 'a success without its seal' };
  // Without a length or chunks a complete response cannot be distinguished from one that was cut short.
  if (headerOf(headers, 'content-length') === undefined && headerOf(headers, 'transfer-encoding') === undefined)
    return { kind: 'broken', reason: 'the return has no end mark' };
  return undefined;
}
