import { describe, it } from 'node:test';
import { expect } from 'earl';
import { drawnWorkload, SelectionModel, selectionWorkloads } from '../src/index.js';
import type { SelectionOutcome, SelectionWorkload } from '../src/index.js';

const seeds = [1, 2];

function outcomesOf(workload: SelectionWorkload): Promise<SelectionOutcome[]> {
  return Promise.all(seeds.map((seed) => new SelectionModel({ ...workload, seed }).run()));
}

function lateRatio({ live, liveLate }: SelectionOutcome): number {
  return liveLate / live;
}

describe('a crowd of batches at replicas without priorities', () => {
  for (const [name, workload] of Object.entries(selectionWorkloads)) {
    it(`makes at most 1 in 100 live requests late and no item: ${name}`, async () => {
      for (const outcome of await outcomesOf(workload)) {
        expect(lateRatio(outcome) <= 0.01).toEqual(true);
        expect([outcome.liveRefused, outcome.itemsLate]).toEqual([0, 0]);
      }
    });
  }

  it('makes over 5 in 100 live requests late without room for their fluctuations and a preference for idle connections', async () => {
    const workload = { ...selectionWorkloads.manyFronts, isStaffed: false, knowsConnections: false };
    for (const outcome of await outcomesOf(workload)) expect(lateRatio(outcome) > 0.05).toEqual(true);
  });

  it('opens less than half of the connections where idle ones are preferred', async () => {
    const { manyFronts } = selectionWorkloads;
    const preferred = await outcomesOf(manyFronts);
    const others = await outcomesOf({ ...manyFronts, knowsConnections: false });
    preferred.forEach(({ connectionsOpened }, index) => {
      expect(connectionsOpened < (others[index]?.connectionsOpened ?? 0) / 2).toEqual(true);
    });
  });

  it('makes fewer live requests late than without both rules, and none refused, at deployments drawn by seed', async () => {
    for (const seed of [11, 12, 13]) {
      const workload = drawnWorkload(seed);
      const present = await new SelectionModel(workload).run();
      const former = await new SelectionModel({ ...workload, isStaffed: false, knowsConnections: false }).run();
      expect(present.liveLate <= former.liveLate).toEqual(true);
      expect(present.liveRefused).toEqual(0);
    }
  });
});
