import { readFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

/**
 * Loaded into a keeper of files before its program, by the harness alone: while the file that SLOW_SYNC names holds a
 * number, every sync of the process takes so many milliseconds longer, as on a disk that turned slow.
 */
const named = process.env['SLOW_SYNC'] ?? '';

const probe = await open(fileURLToPath(import.meta.url), 'r');
const handles: { datasync(): Promise<void>; sync(): Promise<void> } = Object.getPrototypeOf(probe);
await probe.close();

async function slow(): Promise<void> {
  let text = '';
  try {
    text = readFileSync(named, 'utf8');
  } catch {
    // No file: the disk is as quick as it is.
  }
  if (Number(text) > 0) await wait(Number(text));
}

const { datasync, sync } = handles;
handles.datasync = async function () {
  await slow();
  await datasync.call(this);
};
handles.sync = async function () {
  await slow();
  await sync.call(this);
};
