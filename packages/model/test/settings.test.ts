import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Bounds, QuotaRule, Limits, Route, Service, Configuration } from '../src/index.js';

const page = readFileSync(join(dirname(fileURLToPath(import.meta.url)), '../../../../docs/settings.md'), 'utf8');
const Entry = v.object({ type: v.string(), default: v.optional(v.unknown()) });

/** The rows of one section of the page: setting and default. */
function rowsOf(section: string): readonly string[] {
  const from = page.indexOf(`## ${section}\n`);
  const next = page.indexOf('\n## ', from + 1);
  const text = page.slice(from, next < 0 ? undefined : next);
  return [...text.matchAll(/^\| `(\w+)` \| ([^|]*) \|/gm)].map((row) => `${row[1]} ${row[2]?.trim()}`);
}

/** The same of a schema: `needed`, `none` for an optional setting without a default, or the default. */
function rowsIn(entries: Readonly<Record<string, unknown>>): readonly string[] {
  return Object.entries(entries).map(([name, schema]) => {
    const entry = v.parse(Entry, schema);
    const granted = entry.type !== 'optional' ? 'needed' : entry.default === undefined ? 'none' : JSON.stringify(entry.default);
    return `${name} ${granted}`;
  });
}

describe('docs/settings.md', () => {
  for (const [section, schema] of [
    ['Configuration', Configuration],
    ['Bounds', Bounds],
    ['Services', Service],
    ['Quotas', QuotaRule],
    ['Routes', Route],
    ['Limits', Limits],
  ] as const) {
    it(`has every setting of ${section} with its default, and no other`, () => {
      expect([...rowsOf(section)].sort()).toEqual([...rowsIn(schema.entries)].sort());
    });
  }
});
