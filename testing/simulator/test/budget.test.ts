import { describe, it } from 'node:test';
import { expect } from 'earl';
import { SimRun } from '../src/index.js';

/** Runs of a branch's items that began in a span. */
function ranIn(run: SimRun, quota: string, fromMs: number, toMs: number): number {
  return run.fleet.history.filter((one) => one.type === 'ran' && one.quota === quota && one.atMs >= fromMs && one.atMs < toMs).length;
}

/** Median time from sending to the return of live tasks in a span. */
function liveMs(run: SimRun, fromMs: number, toMs: number): number {
  const sent = new Map<string, number>();
  const times: number[] = [];
  for (const one of run.fleet.history) {
    if (one.type === 'sent' && one.key.startsWith('task')) sent.set(one.key, one.atMs);
    if (one.type === 'told' && one.outcome === 'returned' && one.atMs >= fromMs && one.atMs < toMs)
      times.push(one.atMs - (sent.get(one.key) ?? one.atMs));
  }
  return times.sort((a, b) => a - b)[Math.floor(times.length / 2)] ?? 0;
}

describe('the budget under many lots', () => {
  it('gives each branch its share while all wait, and no more than a tenth above it', async () => {
    const run = new SimRun({ seed: 71, tasks: 6, batches: 0.4, itemsPerBatch: 40, requestsPerMinute: 1200 });
    await run.begin();
    await run.advance(15_000);
    const fromMs = run.fleet.time.nowMs;
    await run.advance(60_000);
    // North leads 300 requests a minute, south 180; both have more waiting than that.
    const [north, south] = ['north', 'south'].map((quota) => ranIn(run, quota, fromMs, fromMs + 60_000));
    expect([(north ?? 0) >= 270, (north ?? 0) <= 330]).toEqual([true, true]);
    expect([(south ?? 0) >= 162, (south ?? 0) <= 198]).toEqual([true, true]);
    run.noteFault('nothing');
    expect((await run.finish()).violations).toEqual([]);
  });

  it('lends unused room, and takes it back as soon as the lender has work of its own', async () => {
    const run = new SimRun({ seed: 72, tasks: 2, batches: 0.5, itemsPerBatch: 40, requestsPerMinute: 1200 });
    run.traffic.batchQuotas = ['north'];
    await run.begin();
    await run.advance(10_000);
    let fromMs = run.fleet.time.nowMs;
    await run.advance(30_000);
    // Alone, north runs at its own rate and south's: 240 in half a minute instead of 150.
    const alone = ranIn(run, 'north', fromMs, fromMs + 30_000);
    expect([alone > 200, alone < 265]).toEqual([true, true]);
    run.traffic.batchQuotas = ['north', 'south'];
    await run.advance(3000);
    fromMs = run.fleet.time.nowMs;
    await run.advance(30_000);
    const [north, south] = ['north', 'south'].map((quota) => ranIn(run, quota, fromMs, fromMs + 30_000));
    expect([(north ?? 0) > 130, (north ?? 0) < 170]).toEqual([true, true]);
    expect([(south ?? 0) > 75, (south ?? 0) < 105]).toEqual([true, true]);
  });

  it('keeps live tasks as quick under a flood of lots as without one, and lots moving under a flood of tasks', async () => {
    const quiet = new SimRun({ seed: 73, tasks: 30, batches: 0.01 });
    await quiet.begin();
    await quiet.advance(10_000);
    const flooded = new SimRun({ seed: 73, tasks: 30, batches: 2, itemsPerBatch: 60 });
    await flooded.begin();
    await flooded.advance(10_000);
    const ratio = liveMs(flooded, 20_000, 30_000) / liveMs(quiet, 20_000, 30_000);
    expect(ratio < 1.25).toEqual(true);
    const busy = new SimRun({ seed: 74, tasks: 300, batches: 2, itemsPerBatch: 10, requestsPerMinute: 60_000 });
    await busy.begin();
    const fromMs = busy.fleet.time.nowMs;
    await busy.advance(10_000);
    // The floor: a twentieth of the slots, at half a second each, is more than five items a second.
    expect(ranIn(busy, 'north', fromMs, fromMs + 10_000) + ranIn(busy, 'south', fromMs, fromMs + 10_000) > 50).toEqual(true);
  });
});
