import { headerOf } from './headerOf.js';

/** Hop-by-hop headers (RFC 9110, 7.6.1). The length is computed again, and `expect` was met when the body was read. */
const hopByHop = new Set([
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

/** End-to-end headers of a flat list (names and values), without those named in `without` (lower case). */
export function endToEnd(list: readonly string[], without: readonly string[]): string[] {
  // Headers that `connection` names are hop-by-hop too.
  const options = (headerOf(list, 'connection') ?? '').split(',').map((option) => option.trim().toLowerCase());
  // `host` is kept even if named: a request without it would be invalid.
  const dropped = (name: string): boolean => hopByHop.has(name) || without.includes(name) || (options.includes(name) && name !== 'host');
  const kept: string[] = [];
  for (let index = 0; index + 1 < list.length; index += 2) {
    const name = list[index];
    const value = list[index + 1];
    if (name === undefined || value === undefined) continue;
    if (!dropped(name.toLowerCase())) kept.push(name, value);
  }
  return kept;
}
