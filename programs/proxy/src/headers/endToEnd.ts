import { headerOf } from './headerOf.js';

/** Headers that concern one circuit only; a length is worked out anew, and an expectation was met by whoever read the body. */
const ofConnection = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);

/** What of a flat list of headers goes on to the next circuit, less those named in `without` (lower case). */
export function endToEnd(list: readonly string[], without: readonly string[]): string[] {
  // Whatever `connection` names concerns the circuit too.
  const named = (headerOf(list, 'connection') ?? '').split(',').map((one) => one.trim().toLowerCase());
  const kept: string[] = [];
  for (let at = 0; at + 1 < list.length; at += 2) {
    const [key, value] = [list[at], list[at + 1]];
    if (key === undefined || value === undefined) continue;
    const name = key.toLowerCase();
    if (!ofConnection.has(name) && !without.includes(name) && !(named.includes(name) && name !== 'host')) kept.push(key, value);
  }
  return kept;
}
