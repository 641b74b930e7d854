import { describe, it } from 'node:test';
import { expect } from 'earl';
import { LongPollReads } from '../src/index.js';
import { opaqueItem } from './support/opaqueItem.js';
import { opaqueShardAt } from './support/opaqueShardAt.js';

const { host, id } = opaqueItem;

describe('LongPollReads', () => {
  it('wakes waiting reads at the next outcome, and never keeps more than its limit waiting', async () => {
    const timers: (() => void)[] = [];
    const clock = {
      nowMs: () => 0,
      wallMs: () => 0,
      after: (_waitMs: number, run: () => void) => {
        timers.push(run);
        return () => undefined;
      },
    };
    const longPolls = new LongPollReads(clock, 2);
    const { submit, start, close, shard } = opaqueShardAt({ nowMs: 0 }, (batch) => longPolls.wake(batch));
    submit();
    start(0, 1);
    expect(shard.find(id(), host)?.waitsAt(0)).toEqual(true);
    const reads = [longPolls.hold(id(), 1000), longPolls.hold(id(), 1000)];
    await longPolls.hold(id(), 1000);
    expect(longPolls.count).toEqual(2);
    close(0, 1, 'COMPLETED', 'x');
    await Promise.all(reads);
    expect([longPolls.count, shard.find(id(), host)?.waitsAt(0), shard.find(id(), host)?.waitsAt(1)]).toEqual([0, false, true]);
    const last = longPolls.hold(id(), 1000);
    timers.at(-1)?.();
    await last;
    expect(longPolls.count).toEqual(0);
  });
});
