import { stat } from 'node:fs';
import { promisify } from 'node:util';
import type { Clock } from '../clock/index.js';
import { every } from '../clock/index.js';

// Not node:fs/promises, which nothing else loads in a process without a data folder.
const readStat = promisify(stat);

/**
 * Calls `changed` when the file's modification time differs from the last one, checked every `lookMs` milliseconds, and on SIGHUP.
 * Returns the function that stops it. Errors of `changed` are ignored.
 */
export function fileWatch(file: string, clock: Clock, lookMs: number, changed: () => void | Promise<void>): () => void {
  let seenMs: number | undefined;
  const look = async (): Promise<void> => {
    const { mtimeMs } = await readStat(file);
    const moved = seenMs !== undefined && mtimeMs !== seenMs;
    seenMs = mtimeMs;
    if (moved) await changed();
  };
  const onHangUp = (): void =>
    void Promise.resolve()
      .then(changed)
      .catch(() => undefined);
  void look().catch(() => undefined);
  process.on('SIGHUP', onHangUp);
  const stop = every(clock, lookMs, look);
  return () => {
    process.off('SIGHUP', onHangUp);
    stop();
  };
}
