import { readFile } from 'node:fs/promises';
import * as v from 'valibot';
import { BootSettings } from './bootSettings.js';
import { check, FindingsError } from '@pewterlanding/model';

const Entries = v.record(v.string(), v.unknown());

/** Reads the boot file, lets flags win over it, and throws every finding together. */
export async function readBootSettings(
  file: string | undefined,
  flags: Readonly<Record<string, unknown>>,
  needs: readonly (keyof BootSettings)[],
): Promise<BootSettings> {
  let fromFile: Record<string, unknown> = {};
  if (file !== undefined) {
    const text = await readFile(file, 'utf8').catch(() => {
      throw new FindingsError([{ place: file, message: 'cannot be read' }]);
    });
    let parsed: unknown;
    try {
      parsed = JSON.parse(text);
    } catch (error) {
      throw new FindingsError([{ place: file, message: error instanceof Error ? error.message : 'is not JSON' }]);
    }
    const entries = check(Entries, parsed);
    if (!entries.ok) throw new FindingsError([{ place: file, message: 'must hold a JSON object' }]);
    fromFile = entries.value;
  }
  const granted = Object.fromEntries(Object.entries(flags).filter(([, value]) => value !== undefined));
  const all = { ...fromFile, ...granted };
  const read = check(BootSettings, all);
  const missing = needs.filter((key) => all[key] === undefined).map((key) => ({ place: key, message: 'is needed by this program' }));
  if (!read.ok || missing.length > 0) {
    const own = read.ok ? [] : read.findings.filter((finding) => !missing.some((need) => need.place === finding.place));
    throw new FindingsError([...own, ...missing]);
  }
  return read.value;
}
