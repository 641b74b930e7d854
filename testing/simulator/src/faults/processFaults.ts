import type { Disruption } from '../simulation/index.js';
import type { SimFault } from './simFault.js';

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
  d.environment.leave(name);
  d.environment.restart(name, backMs);
  const next = (): void => {
    if (!roll(d, rest)) d.environment.later(500, next);
  };
  if (rest.length > 0) d.environment.later(backMs + 500, next);
  return true;
}

/** Processes are killed, stand still, run slowly, or are restarted. */
export const processFaults: Readonly<Record<string, SimFault>> = {
  killFront: {
    act: (d) => {
      d.kill(d.environment.pick(d.environment.machines('front')), d.span(500, 4000));
      return true;
    },
  },
  killStore: { act: (d) => kill(d, d.environment.pick(d.environment.machines('store'))) },
  killController: { act: (d) => kill(d, d.environment.pick(d.environment.machines('controller'))) },
  killConfigurationLeader: { act: (d) => kill(d, d.environment.configurationLeader()) },
  killDispatcher: { act: (d) => kill(d, d.environment.dispatcher()) },
  freezeFront: {
    act: (d) => {
      d.freeze(d.environment.pick(d.environment.machines('front')), d.span(500, 9000));
      return true;
    },
  },
  freezeStore: { act: (d) => freeze(d, d.environment.pick(d.environment.machines('store'))) },
  freezeConfigurationLeader: { act: (d) => freeze(d, d.environment.configurationLeader()) },
  freezeDispatcher: { act: (d) => freeze(d, d.environment.dispatcher()) },
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
      for (const name of d.environment.machines('controller')) d.kill(name, d.span(300, backMs));
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
      const name = d.environment.pick(d.keepers());
      const forMs = d.span(2000, 8000);
      if (!d.lose([name], forMs)) return false;
      for (const slow of [name, ...d.some(d.environment.machines('front'), 0.3)]) d.slow(slow, d.span(3, 10), forMs);
      return true;
    },
  },
  controllersRoll: { act: (d) => roll(d, d.environment.machines('controller')) },
  storesRoll: { act: (d) => roll(d, d.environment.machines('store')) },
  frontsRoll: {
    act: (d) => {
      d.environment.machines('front').forEach((name, position) =>
        d.environment.later(position * 700, () => {
          d.environment.leave(name);
          d.environment.restart(name, 2000);
        }),
      );
      return true;
    },
  },
  /** The machine that leads the configuration is killed again and again. */
  leaderKilledAgain: {
    act: (d) => {
      const name = d.environment.configurationLeader();
      const times = 3;
      const everyMs = 1500;
      if (!d.lose([name], everyMs * times)) return false;
      for (let time = 0; time < times; time += 1) d.environment.later(time * everyMs, () => d.kill(name, everyMs / 3));
      return true;
    },
  },
};
