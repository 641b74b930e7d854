import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { ServiceName } from '@pewterlanding/model';
import { SimRun } from '../src/index.js';

const service = v.parse(ServiceName, 'ask');
const desired = {
  service,
  kind: 'live',
  urgency: 0,
  model: undefined,
  promptTokens: 10,
  outputTokens: 10,
  shared: '',
  sharedTokens: 0,
  without: new Set<string>(),
} as const;

/** Each front takes and leaves places all the time, so that its use is news at every beat; what a front's agent then says in a second. */
async function words(fronts: number) {
  const run = new SimRun({ seed: 7, fronts, joining: { copies: 3 } });
  await run.begin(false);
  const { signal } = new AbortController();
  const hosts = run.fleet.named('front');
  const spin = (): void => {
    for (const { process } of hosts)
      void process?.proxy?.selector.enter(desired, 0, signal).then((selected) => run.schedule(150, () => selected?.leave('succeeded')));
    run.schedule(90, spin);
  };
  spin();
  const count = (name: string): number => hosts.reduce((sum, { process }) => sum + (process?.counters.get(name) ?? 0), 0);
  const names = ['agent.feeds', 'agent.heldTold', 'agent.askedFresh'] as const;
  await run.advance(3000);
  const before = names.map(count);
  await run.advance(4000);
  const [feeds = 0, held = 0, asked = 0] = names.map((name, at) => (count(name) - (before[at] ?? 0)) / fronts / 4);
  return { feeds, held, asked };
}

describe('a fleet that grows', () => {
  it('has each front hear and say no more messages, however many others there are', async () => {
    const small = await words(4);
    const large = await words(16);
    // A feed at each beat, of which four make a second, one for each quarter of it, and few others.
    expect(large.feeds < 20 && large.feeds < small.feeds * 1.5).toEqual(true);
    // Controllers hear of a front that holds nothing new only now and then.
    expect([small, large].every(({ held, asked }) => held <= 1 && asked === 0)).toEqual(true);
  });
});
