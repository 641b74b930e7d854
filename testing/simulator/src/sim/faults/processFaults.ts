import type { Disruption } from '../disruption.js';
import type { SimFault } from '../simFault.js';

function kill(d: Disruption, name: string): boolean {
  const backMs = d.span(500, 6000);
  if (!d.lose([name], backMs)) return false;
  d.kill(name, backMs);
  return true;
}

function freeze(d: Disruption, name: string): boolean {
  const forMs = d.span(500, 9000);
  if (!d.lose([name], forMs)) return false;
  d.freeze(name, forMs);
  return true;
}

/** Each of some machines ends politely and starts again, the next one once the one before has caught up. */
function roll(d: Disruption, names: readonly string[]): boolean {
  const [name, ...rest] = names;
  if (name === undefined) return true;
  const backMs = 3500;
  if (!d.lose([name], backMs)) return false;
  d.run.leave(name);
  d.run.restart(name, backMs);
  const next = (): void => {
    if (!roll(d, rest)) d.run.later(500, next);
  };
  if (rest.length > 0) d.run.later(backMs + 500, next);
  return true;
}

/** Processes are killed, stand still, run slowly, or are restarted. */
export const processFaults: Readonly<Record<string, SimFault>> = {
  killFront: {
    act: (d) => {
      d.kill(d.run.pick(d.run.machines('front')), d.span(500, 4000));
      return true;
    },
  },
  killStore: { act: (d) => kill(d, d.run.pick(d.run.machines('store'))) },
  killController: { act: (d) => kill(d, d.run.pick(d.run.machines('controller'))) },
  killConfigurationLeader: { act: (d) => kill(d, d.run.configurationLeader()) },
  killDispatcher: { act: (d) => kill(d, d.run.dispatcher()) },
  freezeFront: {
    act: (d) => {
      d.freeze(d.run.pick(d.run.machines('front')), d.span(500, 9000));
      return true;
    },
  },
  freezeStore: { act: (d) => freeze(d, d.run.pick(d.run.machines('store'))) },
  freezeConfigurationLeader: { act: (d) => freeze(d, d.run.configurationLeader()) },
  freezeDispatcher: { act: (d) => freeze(d, d.run.dispatcher()) },
  /** More than half of everything is killed at once. */
  herdKilled: {
    act: (d) => {
      const backMs = 3000;
      if (!d.loseAll(backMs)) return false;
      for (const name of d.some(d.everybody(), 0.6)) d.kill(name, d.span(500, backMs));
      for (const replica of d.some(d.replicas(), 0.6)) d.crash(replica, d.span(500, backMs));
      return true;
    },
  },
  controllersKilled: {
    act: (d) => {
      const backMs = 3000;
      if (!d.loseAll(backMs)) return false;
      for (const name of d.run.machines('controller')) d.kill(name, d.span(300, backMs));
      return true;
    },
  },
  everybodyKilled: {
    act: (d) => {
      const backMs = 2500;
      if (!d.loseAll(backMs)) return false;
      for (const name of d.everybody()) d.kill(name, d.span(300, backMs));
      return true;
    },
  },
  /** Two that hold copies, and perhaps all fronts, run several times slower. */
  machinesSlow: {
    act: (d) => {
      const name = d.run.pick(d.keepers());
      const forMs = d.span(2000, 8000);
      if (!d.lose([name], forMs)) return false;
      for (const slow of [name, ...d.some(d.run.machines('front'), 0.3)]) d.slow(slow, d.span(3, 10), forMs);
      return true;
    },
  },
  controllersRoll: { act: (d) => roll(d, d.run.machines('controller')) },
  storesRoll: { act: (d) => roll(d, d.run.machines('store')) },
  frontsRoll: {
    act: (d) => {
      d.run.machines('front').forEach((name, position) =>
        d.run.later(position * 700, () => {
          d.run.leave(name);
          d.run.restart(name, 2000);
        }),
      );
      return true;
    },
  },
  /** The machine that leads the configuration is killed again and again. */
  leaderKilledAgain: {
    act: (d) => {
      const name = d.run.configurationLeader();
      const times = 3;
      const everyMs = 1500;
      if (!d.lose([name], everyMs * times)) return false;
      for (let time = 0; time < times; time += 1) d.run.later(time * everyMs, () => d.kill(name, everyMs / 3));
      return true;
    },
  },
};
