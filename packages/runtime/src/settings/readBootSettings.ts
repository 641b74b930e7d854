import { readFile } from 'node:fs/promises';
import * as v from 'valibot';
import { check, FindingsError } from '@pewterlanding/model';
import type { Finding } from '@pewterlanding/model';
import { BootSettings } from './bootSettings.js';

const Entries = v.record(v.string(), v.unknown());

/**
 * Reads the boot settings of a program: those of the JSON file, if there is one, overridden by flags that are not undefined. Throws a
 * FindingsError with all findings at once, also for settings of `needs` that are missing.
 */
export async function readBootSettings(
  file: string | undefined,
  flags: Readonly<Record<string, unknown>>,
  needs: readonly (keyof BootSettings)[],
): Promise<BootSettings> {
  const fromFile = file === undefined ? {} : await readEntries(file);
  const fromFlags = Object.fromEntries(Object.entries(flags).filter(([, value]) => value !== undefined));
  const entries: Readonly<Record<string, unknown>> = { ...fromFile, ...fromFlags };
  const read = check(BootSettings, entries);
  const missing: readonly Finding[] = needs
    .filter((key) => entries[key] === undefined)
    .map((key) => ({ place: key, message: 'is needed by this program' }));
  if (read.ok && missing.length === 0) return read.value;
  // A missing setting is reported once.
  const invalid = read.ok ? [] : read.findings.filter((finding) => !missing.some(({ place }) => place === finding.place));
  throw new FindingsError([...invalid, ...missing]);
}

async function readEntries(file: string): Promise<Readonly<Record<string, unknown>>> {
  const text = await readFile(file, 'utf8').catch(() => {
    throw new FindingsError([{ place: file, message: 'cannot be read' }]);
  });
  const entries = check(Entries, parseJson(file, text));
  if (!entries.ok) throw new FindingsError([{ place: file, message: 'must hold a JSON object' }]);
  return entries.value;
}

function parseJson(file: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new FindingsError([{ place: file, message: error instanceof Error ? error.message : 'is not JSON' }]);
  }
}
