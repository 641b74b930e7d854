import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { batchCapacity, batchSlots } from '../src/index.js';

const bounds = { batchConcurrencyLimit: 10_000, batchFloorRatio: 0.05, liveReserve: 0.1 };
const counts = fc.integer({ min: 0, max: 5000 });
const ratios = fc.double({ min: -1, max: 3, noNaN: true });

describe('batchCapacity', () => {
  it('leaves the live reserve without live requests, and two standard deviations of the live requests of each replica with them', () => {
    expect(batchSlots({ slots: 120, replicas: 10, live: 0, waitedRatio: 0 }, bounds)).toEqual(108);
    // Four live requests at each of ten replicas: 40, and room for 2 * sqrt(4) more at each.
    expect(batchSlots({ slots: 120, replicas: 10, live: 40, waitedRatio: 0 }, bounds)).toEqual(40);
  });

  it('gives some of that room to items that have waited for most of their time', () => {
    const pool = { slots: 120, replicas: 10, live: 40 };
    const limits = [0, 0.3, 0.5, 0.8, 2].map((waitedRatio) => batchSlots({ ...pool, waitedRatio }, bounds));
    expect(limits).toEqual([40, 40, 50, 65, 65]);
  });

  it('leaves large replicas fuller than small ones', () => {
    const small = batchSlots({ slots: 120, replicas: 30, live: 40, waitedRatio: 0 }, bounds);
    const large = batchSlots({ slots: 120, replicas: 3, live: 40, waitedRatio: 0 }, bounds);
    expect(large > small).toEqual(true);
  });

  it('is never below the floor, never above the slots, and shrinks as live requests grow', () => {
    fc.assert(
      fc.property(counts, fc.integer({ min: 0, max: 300 }), counts, counts, ratios, (slots, replicas, live, more, waitedRatio) => {
        const limit = batchSlots({ slots, replicas, live, waitedRatio }, bounds);
        expect(limit >= Math.min(slots, 1)).toEqual(true);
        expect(limit <= slots).toEqual(true);
        expect(batchSlots({ slots, replicas, live: live + more, waitedRatio }, bounds) <= limit).toEqual(true);
        expect(batchCapacity({ slots, replicas, live, waitedRatio }, more, bounds) >= 0).toEqual(true);
      }),
    );
  });
});
