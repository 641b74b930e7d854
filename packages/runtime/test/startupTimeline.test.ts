import { describe, it } from 'node:test';
import { expect } from 'earl';
import { quietLog, StartupTimeline } from '../src/index.js';

/** A clock that a test sets; nothing here waits for it. */
class SetClock {
  atMs = 0;
  nowMs(): number {
    return this.atMs;
  }
  wallMs(): number {
    return this.atMs;
  }
  after(): () => void {
    throw new Error('the startup timeline needs no timer');
  }
}

function started(startedMs = 0): { readonly clock: SetClock; readonly lines: string[]; readonly timeline: StartupTimeline } {
  const clock = new SetClock();
  const lines: string[] = [];
  const timeline = new StartupTimeline({ clock, startedMs, log: { ...quietLog, info: (line) => void lines.push(line) } });
  return { clock, lines, timeline };
}

describe('StartupTimeline', () => {
  it('notes each stage once, by the time since the process began', () => {
    const { clock, lines, timeline } = started(1000);
    clock.atMs = 1030.4;
    timeline.reach('settings read');
    clock.atMs = 1090;
    timeline.reach('listening');
    clock.atMs = 2000;
    timeline.reach('settings read');
    expect([...timeline.stages()]).toEqual([
      { stage: 'settings read', sinceStartMs: 30 },
      { stage: 'listening', sinceStartMs: 90 },
    ]);
    expect(lines).toEqual(['{"startup":"settings read","sinceStartMs":30}', '{"startup":"listening","sinceStartMs":90}']);
  });

  it('notes an awaited stage at the first look that finds it reached, whatever the order, without a timer', () => {
    const { clock, lines, timeline } = started();
    const held = { configuration: false, replicas: false };
    timeline.await('configuration held', () => held.configuration);
    timeline.await('replicas known', () => held.replicas);
    expect([...timeline.stages()]).toEqual([]);
    clock.atMs = 200;
    held.replicas = true;
    timeline.look();
    clock.atMs = 250;
    timeline.look();
    held.configuration = true;
    clock.atMs = 300;
    timeline.look();
    // A stage that was reached stays so.
    held.replicas = false;
    timeline.look();
    expect([...timeline.stages()]).toEqual([
      { stage: 'replicas known', sinceStartMs: 200 },
      { stage: 'configuration held', sinceStartMs: 300 },
    ]);
    expect(lines.length).toEqual(2);
  });

  it('notes at once what holds already when it is awaited', () => {
    const { timeline } = started();
    timeline.await('first peer heard', () => true);
    expect([...timeline.stages()]).toEqual([{ stage: 'first peer heard', sinceStartMs: 0 }]);
  });
});
