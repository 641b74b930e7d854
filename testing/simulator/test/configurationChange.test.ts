import { describe, it } from 'node:test';
import { expect } from 'earl';
import { SimRun } from '../src/index.js';

describe('a setup that travels as changes', () => {
  it('is asked for whole by a front that missed a version', async () => {
    const run = new SimRun({ seed: 10 });
    await run.begin(false);
    const { fleet } = run;
    const version = (name: string): number => fleet.host(name).process?.proxy?.routingState.tables.version ?? 0;
    const unknown = (): number =>
      [...fleet.hosts.values()].reduce((sum, host) => sum + (host.process?.counters.get('membership.changeUnknown') ?? 0), 0);
    expect(await run.advanceUntilSettled(run.changeConfiguration({ part: { bounds: { batchConcurrencyLimit: 111 } } }), 20_000)).toEqual(
      'confirmed',
    );
    expect([version('front-2'), unknown()]).toEqual([2, 0]);
    for (const other of fleet.hosts.keys()) {
      fleet.net.cut('front-2', other);
      fleet.net.cut(other, 'front-2');
    }
    expect(await run.advanceUntilSettled(run.changeConfiguration({ part: { bounds: { batchConcurrencyLimit: 112 } } }), 20_000)).toEqual(
      'confirmed',
    );
    const late = run.changeConfiguration({ part: { bounds: { batchConcurrencyLimit: 113 } } });
    await run.advance(20);
    fleet.net.heal();
    expect(await run.advanceUntilSettled(late, 20_000)).toEqual('confirmed');
    await run.advance(3000);
    // It took neither change on a version it did not hold, and has the newest.
    expect([
      version('front-2'),
      fleet.host('front-2').process?.proxy?.routingState.tables.configuration?.bounds.batchConcurrencyLimit,
    ]).toEqual([4, 113]);
  });
});
