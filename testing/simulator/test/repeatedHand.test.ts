import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { ItemId, ServiceName } from '@pewterlanding/model';
import { SimRun } from '../src/index.js';

describe('a lot handed in again under its key', () => {
  it('is not refused under a later setup when it was taken under an earlier one', async () => {
    const run = new SimRun({ seed: 8 });
    await run.begin(false);
    const items = [1, 2, 3].map((number) => ({ id: v.parse(ItemId, `i${number}`), input: { key: `x/i${number}`, quota: 'north' } }));
    const hand = async (key: string, count = 3): Promise<string> => {
      const proxy = run.fleet.host('front-1').process?.proxy;
      if (proxy === undefined) throw new Error('no front');
      const handed = await run.advanceUntilSettled(
        proxy.batches.submit('north', key, { service: v.parse(ServiceName, 'tag'), items: items.slice(0, count) }),
        5000,
      );
      return handed.kind === 'accepted' ? 'made' : `${handed.status}`;
    };
    expect(await hand('first')).toEqual('made');
    expect(await run.advanceUntilSettled(run.changeConfiguration({ part: { bounds: { maxItems: 2 } } }), 20_000)).toEqual('confirmed');
    expect([await hand('first'), await hand('second'), await hand('first', 2)]).toEqual(['made', '413', '409']);
    // Its branch and its service may be gone by then: what was taken stays taken.
    const pruned = { part: { services: { tag: null }, quotas: { north: null } } };
    expect(await run.advanceUntilSettled(run.changeConfiguration(pruned), 20_000)).toEqual('confirmed');
    expect([await hand('first'), await hand('third')]).toEqual(['made', '403']);
  });
});
