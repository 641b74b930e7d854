import { stat } from 'node:fs';
import { promisify } from 'node:util';
import type { Clock } from '../clock/index.js';
import { every } from '../clock/index.js';

// Node's own promises of files are loaded nowhere else on a machine without a disk.
const readStat = promisify(stat);

/** Runs `changed` when a file's time of change moves, looked at each `lookMs`, and on SIGHUP. Returns the stop. */
export function fileWatch(file: string, clock: Clock, lookMs: number, changed: () => void | Promise<void>): () => void {
  let seenMs: number | undefined;
  const look = async (): Promise<void> => {
    const { mtimeMs } = await readStat(file);
    const moved = seenMs !== undefined && mtimeMs !== seenMs;
    seenMs = mtimeMs;
    if (moved) await changed();
  };
  const hangUp = (): void =>
    void Promise.resolve()
      .then(changed)
      .catch(() => undefined);
  void look().catch(() => undefined);
  process.on('SIGHUP', hangUp);
  const stop = every(clock, lookMs, look);
  return () => {
    process.off('SIGHUP', hangUp);
    stop();
  };
}
