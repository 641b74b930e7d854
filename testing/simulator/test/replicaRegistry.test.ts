import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { updateKeys, Replica } from '@pewterlanding/agent';
import type { ReplicaRegistry, ConfigurationChange } from '@pewterlanding/controller';
import { partialPartition, SimRun } from '../src/index.js';

const controllers = ['core-1', 'core-2', 'core-3'];
/** The words' period in simulated fleets. */
const heartbeatMs = 1000;

class ReplicaSpeaker {
  readonly run: SimRun;
  readonly instance: string;
  counter = 0;

  constructor(run: SimRun, instance: string) {
    this.run = run;
    this.instance = instance;
  }

  watch(controller: string): ReplicaRegistry {
    const watch = this.run.fleet.host(controller).process?.controller?.watch;
    if (watch === undefined) throw new Error(`no controller ${controller}`);
    return watch;
  }

  word(state: Replica['state'], incarnation: number): Replica {
    return v.parse(Replica, { service: 'later', address: '127.0.40.9:9000', slots: 4, incarnation, instance: this.instance, state });
  }

  print(controller: string, state: Replica['state'] = 'serving'): string {
    this.counter += 1;
    return this.watch(controller).announce(this.word(state, this.counter));
  }

  /** Speaks to a controller each beat for a while. */
  async speak(controller: string, heartbeats: number): Promise<void> {
    for (let heartbeat = 0; heartbeat < heartbeats; heartbeat += 1) {
      this.print(controller);
      await this.run.advance(heartbeatMs);
    }
  }

  /** What a node has of this life: a front as its proxy sees it, a controller as its counters say. */
  at(front: string): string {
    const update = this.run.fleet.host(front).process?.proxy?.routingState.stateTable.get(updateKeys.replica('later', this.instance));
    const read = v.safeParse(Replica, update?.value);
    return read.success ? read.output.state : 'unknown';
  }

  count(controller: string, counter: string): number {
    return this.run.fleet.host(controller).process?.counters.get(counter) ?? 0;
  }
}

async function begun(seed: number): Promise<ReplicaSpeaker> {
  const run = new SimRun({ seed });
  await run.begin(false);
  return new ReplicaSpeaker(run, 'life-1');
}

describe("replicas' words at the controller", () => {
  it('go to all when they say something new, and no further when they do not', async () => {
    const speaker = await begun(3);
    expect(speaker.print('core-2')).toEqual('taken');
    await speaker.run.advance(50);
    expect([speaker.at('front-1'), speaker.at('front-4')]).toEqual(['serving', 'serving']);
    const version = (): unknown =>
      speaker.run.fleet.host('front-1').process?.proxy?.routingState.stateTable.get(updateKeys.replica('later', 'life-1'))?.version;
    // It may speak to any controller; they tell each other, and nobody else.
    for (let turn = 0; turn < 12; turn += 1) await speaker.speak(controllers[turn % 3] ?? 'core-1', 1);
    expect([version(), speaker.at('front-1')]).toEqual([[1, 0], 'serving']);
    expect(controllers.map((controller) => speaker.count(controller, 'replica.silent'))).toEqual([0, 0, 0]);
  });

  it('are at every front after two gatherings at the most when it leaves in the very moment of a heartbeat', async () => {
    const speaker = await begun(4);
    await speaker.speak('core-1', 3);
    expect(speaker.print('core-3', 'leaving')).toEqual('taken');
    // Entries that follow others on a link wait for a gathering, 16 ms here, on each of the two links of the tree.
    await speaker.run.advance(20 + 2 * 16);
    expect(speaker.at('front-2')).toEqual('leaving');
  });

  it('are at every front at once when it leaves, and nothing older is believed after', async () => {
    const speaker = await begun(4);
    await speaker.speak('core-1', 3);
    // Between the fleet's heartbeats, so that it waits for no other news that has just gone the same way.
    await speaker.run.advance(heartbeatMs / 10);
    expect(speaker.print('core-3', 'leaving')).toEqual('taken');
    await speaker.run.advance(20);
    expect(speaker.at('front-2')).toEqual('leaving');
    await speaker.run.advance(500);
    expect(speaker.watch('core-1').announce(speaker.word('serving', 2))).toEqual('stale');
    expect(speaker.watch('core-2').leave('life-1')).toEqual('taken');
    await speaker.run.advance(50);
    expect(speaker.print('core-3')).toEqual('stale');
    await speaker.run.advance(500);
    expect(speaker.at('front-2')).toEqual('leaving');
    // Words of a life that takes its leave are late words also where they say more than was known.
    expect([speaker.watch('core-1').leave('nobody'), speaker.print('core-1')]).toEqual(['unknown', 'stale']);
  });

  it('that stop are told as silence once, and serving follows the next word', async () => {
    const speaker = await begun(5);
    await speaker.speak('core-1', 4);
    await speaker.run.advance(heartbeatMs * 2);
    expect(speaker.at('front-1')).toEqual('serving');
    await speaker.run.advance(heartbeatMs * 4);
    expect(speaker.at('front-1')).toEqual('silent');
    await speaker.run.advance(heartbeatMs * 20);
    const told = controllers.reduce((sum, controller) => sum + speaker.count(controller, 'replica.wentSilent'), 0);
    // Controllers that find out in the same moment say the same.
    expect(told >= 1 && told <= 3).toEqual(true);
    speaker.print('core-2');
    await speaker.run.advance(50);
    expect(speaker.at('front-1')).toEqual('serving');
  });

  it('are watched on when the controller that heard them is gone', async () => {
    const speaker = await begun(6);
    await speaker.speak('core-1', 3);
    speaker.run.fleet.kill('core-1');
    await speaker.run.advance(heartbeatMs * 6);
    expect(speaker.at('front-3')).toEqual('silent');
  });

  it('are not called silent by a controller that is cut off, nor by one that stood still', async () => {
    const speaker = await begun(7);
    const { fleet } = speaker.run;
    await speaker.speak('core-1', 3);
    fleet.net.isolate('core-3');
    await speaker.speak('core-1', 12);
    expect(speaker.count('core-3', 'replica.wentSilent')).toEqual(0);
    fleet.net.heal();
    await speaker.speak('core-1', 4);
    fleet.host('core-2').machine.freeze();
    await speaker.speak('core-1', 8);
    fleet.host('core-2').machine.wake();
    await speaker.speak('core-1', 4);
    expect(controllers.map((controller) => speaker.count(controller, 'replica.wentSilent'))).toEqual([0, 0, 0]);
    expect(speaker.at('front-1')).toEqual('serving');
  });

  for (const lost of ['both', 'in', 'out'] as const) {
    it(`are sent on by a controller that is out of contact with its peers (${lost}), so that no life falls silent`, async () => {
      const speaker = await begun(10);
      await speaker.speak('core-3', 4);
      partialPartition(speaker.run, { machine: 'core-3', lost });
      let at = 'core-3';
      for (let heartbeat = 0; heartbeat < 12; heartbeat += 1) {
        // As a replica does that got no acknowledgement.
        if (speaker.print(at) === 'cut off') at = 'core-1';
        if (at === 'core-1') expect(speaker.print(at)).toEqual('taken');
        await speaker.run.advance(heartbeatMs);
        expect(speaker.at('front-1')).toEqual('serving');
      }
      expect(controllers.map((controller) => speaker.count(controller, 'replica.wentSilent'))).toEqual([0, 0, 0]);
      expect(speaker.watch('core-3').leave('nobody')).toEqual('cut off');
      speaker.run.fleet.net.heal();
      await speaker.speak(at, 3);
      expect(speaker.print('core-3')).toEqual('taken');
    });
  }

  it('that only a cut-off controller heard bring the life back once the cut is over', async () => {
    const speaker = await begun(8);
    const { fleet } = speaker.run;
    await speaker.speak('core-3', 3);
    fleet.net.isolate('core-3');
    await speaker.speak('core-3', 8);
    expect(speaker.at('front-1')).toEqual('silent');
    fleet.net.heal();
    await speaker.speak('core-3', 4);
    expect(speaker.at('front-1')).toEqual('serving');
  });
});

describe('a setup put in force in one call, in a fleet', () => {
  it('is taken at any controller, is durable, reaches fronts, and is read back as it was sent', async () => {
    const { run } = await begun(9);
    const { fleet } = run;
    const held = run.fleet.host('front-1').process?.proxy?.routingState.tables.configuration;
    const change = (revision: number, words: unknown): ConfigurationChange => ({
      basedOn: revision - 1,
      revision,
      hash: `change-${revision}`,
      change: {
        kind: 'items',
        routes: { plain: { host: 'one.example', prefix: '/', kind: 'whole', services: [{ service: 'memo', weight: 1 }], words } },
        services: {},
        drop: { routes: [], services: [] },
      },
    });
    const operatorApi = (controller: string) => {
      const found = fleet.host(controller).process?.operatorApi;
      if (found === undefined) throw new Error(`no controller ${controller}`);
      return found;
    };
    const words = { Label: 'plain', Unread: [null, 'x'] };
    const set = (controller: string, revision: number) =>
      run.advanceUntilSettled(operatorApi(controller).set(change(revision, words), 1000), 1200);
    expect((await set('core-2', 1)).outcome).toEqual('taken');
    // News that follow others wait for each other a sixteenth of a beat (16 ms) on each of at most three links.
    await run.advance(20 + 3 * 16);
    expect(fleet.host('front-3').process?.proxy?.routingState.tables.configuration?.revision).toEqual(1);
    expect((await set('core-3', 2)).outcome).toEqual('taken');
    expect(await set('core-1', 1)).toEqual({ outcome: 'taken', revision: 2, findings: [] });
    const owner = run.configurationLeader();
    fleet.kill(owner);
    await run.advance(3000);
    const other = controllers.find((controller) => controller !== owner) ?? '';
    expect((await set(other, 1)).outcome).toEqual('taken');
    const { configuration } = await run.advanceUntilSettled(operatorApi(other).configuration(), 2000);
    expect([configuration?.revision, Object.values(configuration?.routes ?? {}).map((one) => one.sourceDocument)]).toEqual([2, [words]]);
    // What operators planned before stays as it was.
    expect([configuration?.quotas, configuration?.controllers, configuration?.ceiling]).toEqual([
      held?.quotas,
      held?.controllers,
      held?.ceiling,
    ]);
  });
});
