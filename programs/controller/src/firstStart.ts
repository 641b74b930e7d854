import type { Disk } from '@pewterlanding/runtime';
import { Journal } from '@pewterlanding/runtime';

interface FirstStart {
  /** Whether this disk belongs to the fleet's first start. */
  readonly bootstrap: boolean;
  /** To be called once this machine is a member or knows that others are: from then on this disk bootstraps nothing. */
  readonly over: () => Promise<void>;
}

/**
 * Whether this disk belongs to the fleet's first start. The disk records it, since a process that ends before anything was
 * bootstrapped is started again without the flag; the record is removed afterwards, since a disk that loses its files later must
 * not wait for a bootstrap. Rejects where the disk fails.
 */
export async function firstStart(disk: Disk, bootstrap: boolean | undefined): Promise<FirstStart> {
  if (bootstrap === undefined) return { bootstrap: true, over: async () => undefined };
  const journal = new Journal(disk, 'first.start');
  const marked = (await journal.open()).records.length > 0;
  if (bootstrap && !marked) await journal.rewrite([{ bootstrap }]);
  const over = async (): Promise<void> => {
    if (bootstrap || marked) await journal.rewrite([]);
  };
  return { bootstrap: bootstrap || marked, over };
}
