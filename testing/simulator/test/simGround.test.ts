import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Address } from '@pewterlanding/model';
import { Counters, defineCall, seededRandom } from '@pewterlanding/runtime';
import { CountedLosses, Instance, SimClock, SimDisk, SimMachine, SimNet, SimTime, SimTransport } from '../src/index.js';
import type { CutMode } from '../src/index.js';

const ping = defineCall('test.ping', v.strictObject({}), v.strictObject({}));
const bytes = (text: string): Uint8Array => new TextEncoder().encode(text);

/** Two machines, the second of which answers. */
function pair() {
  const time = new SimTime();
  const net = new SimNet(time, seededRandom(1));
  const wires = ['one', 'two'].map((name, position) => {
    const machine = new SimMachine(name, 'a', 0, time);
    const instance = new Instance();
    const here = v.parse(Address, `127.0.0.${position + 1}:7000`);
    const clock = new SimClock(time, machine, instance);
    const transport = new SimTransport({ here, machine, instance, clock, counters: new Counters(), net });
    transport.serve(ping, async () => ({}));
    return { machine, instance, transport, here };
  });
  const [one, two] = wires;
  if (one === undefined || two === undefined) throw new Error('two machines are needed');
  const ask = async (): Promise<string> => {
    let said = '';
    one.transport.ask(two.here, ping, {}, 1000).then(
      () => (said = 'answered'),
      (error: unknown) => (said = error instanceof Error ? error.message : ''),
    );
    await time.runTo(time.nowMs + 100);
    return said;
  };
  return { time, net, one, two, ask };
}

describe('the simulated network', () => {
  for (const [mode, said] of [
    ['silent', ''],
    ['refused', 'test.ping: the circuit was lost'],
    ['reset', 'test.ping: the circuit was lost'],
  ] as const satisfies readonly (readonly [CutMode, string])[])
    it(`shows a cut as ${mode}, and mends each cut by itself`, async () => {
      const { net, ask } = pair();
      const mends = [net.cut('one', 'two', mode), net.cut('one', 'two', mode)];
      expect(await ask()).toEqual(said);
      mends[0]?.();
      expect(await ask()).toEqual(said);
      mends[1]?.();
      expect(await ask()).toEqual('answered');
    });

  it('refuses where a process is gone, and says nothing where the power is', async () => {
    const { two, ask } = pair();
    two.instance.end();
    expect(await ask()).toEqual('test.ping: the circuit was lost');
    two.machine.powered = false;
    expect(await ask()).toEqual('');
  });

  it('loses what waits on a connection that is reset', async () => {
    const { net, two, ask } = pair();
    two.machine.freeze();
    const asked = ask();
    net.reset('one', 'two');
    expect(await asked).toEqual('test.ping: the circuit was lost');
  });
});

describe('the simulated disk', () => {
  /** What is there after the power went while so many files were being replaced, under a seed. */
  async function keptOf(seed: number): Promise<string> {
    const time = new SimTime();
    const disk = new SimDisk(time, seededRandom(seed));
    const instance = new Instance();
    const open = disk.open(instance);
    for (const file of ['a', 'b']) {
      const written = open.replace(file, bytes('old'));
      await time.runTo(time.nowMs + 10);
      await written;
    }
    for (const file of ['a', 'b']) void open.replace(file, bytes('newer'));
    void open.replace('c', bytes('newer'));
    instance.end();
    return ['a', 'b', 'c'].map((file) => disk.lengthBytes(file)).join();
  }

  it('keeps or loses each file by itself that was not synced when the power went', async () => {
    const seen = new Set<string>();
    for (let seed = 1; seed <= 100; seed += 1) seen.add(await keptOf(seed));
    expect([...seen].sort()).toEqual(['3,3,0', '3,3,5', '3,5,0', '3,5,5', '5,3,0', '5,3,5', '5,5,0', '5,5,5']);
  });

  it('says when it is full, and answers nothing while it stands still', async () => {
    const time = new SimTime();
    const disk = new SimDisk(time, seededRandom(1));
    const open = disk.open(new Instance());
    let said = '';
    const append = async (): Promise<void> => {
      said = '';
      open.append('a', bytes('some')).then(
        () => (said = 'written'),
        () => (said = 'no space'),
      );
      await time.runTo(time.nowMs + 10);
    };
    disk.full = true;
    await append();
    expect(said).toEqual('no space');
    disk.mend();
    disk.stall();
    await append();
    expect(said).toEqual('');
    disk.goOn();
    await time.runTo(time.nowMs + 10);
    expect(said).toEqual('written');
  });
});

describe('the count of lost machines', () => {
  it('lets no more be lost at once than may be, and the same one again', async () => {
    const time = new SimTime();
    const losses = new CountedLosses(time, 1);
    expect([losses.lose(['a'], 100), losses.lose(['b'], 100), losses.lose(['a'], 200)]).toEqual([true, false, true]);
    await time.runTo(150);
    expect([losses.lose(['b'], 100), losses.loseAll(['a', 'b'], 100)]).toEqual([false, false]);
    await time.runTo(200);
    expect([losses.loseAll(['a', 'b'], 100), losses.lose(['a'], 100), losses.lose(['c'], 100)]).toEqual([true, true, false]);
  });
});
