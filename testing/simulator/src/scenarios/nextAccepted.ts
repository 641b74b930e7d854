import type { SimEnvironment } from '../simulation/index.js';

const timeoutMs = 10_000;

/** Waits until the next lot of so many items is accepted, and says of which shard it is. */
export async function nextAccepted(run: SimEnvironment, items = 1): Promise<string> {
  const { history } = run.fleet;
  const long = (): string[] => history.flatMap((one) => (one.type === 'batchAccepted' && one.items.length >= items ? [one.batch] : []));
  const before = long().length;
  for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += 1) {
    await run.advance(1);
    const accepted = long().at(before);
    if (accepted !== undefined) return run.traffic.shardOf(accepted);
  }
  return 'lots-0';
}
