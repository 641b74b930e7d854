import type { Disruption } from '../simulation/index.js';
import type { SimFault } from './simFault.js';

function kill(d: Disruption, name: string): boolean {
  const backMs = d.randomSpan(500, 6000);
  if (!d.reserveLoss([name], backMs)) return false;
  d.kill(name, backMs);
  return true;
}

function freeze(d: Disruption, name: string): boolean {
  const forMs = d.randomSpan(500, 9000);
  if (!d.reserveLoss([name], forMs)) return false;
  d.freeze(name, forMs);
  return true;
}

/** Each of some machines ends gracefully and starts again, the next one once the one before has caught up. */
function roll(d: Disruption, names: readonly string[]): boolean {
  const [name, ...rest] = names;
  if (name === undefined) return true;
  const backMs = 3500;
  if (!d.reserveLoss([name], backMs)) return false;
  d.environment.shutDown(name);
  d.environment.scheduleRestart(name, backMs);
  const next = (): void => {
    if (!roll(d, rest)) d.environment.schedule(500, next);
  };
  if (rest.length > 0) d.environment.schedule(backMs + 500, next);
  return true;
}

/** Processes are killed, stand still, run slowly, or are restarted. */
export const processFaults: Readonly<Record<string, SimFault>> = {
  killFront: {
    inject: (d) => {
      d.kill(d.environment.pickRandom(d.environment.machines('front')), d.randomSpan(500, 4000));
      return true;
    },
  },
  killStore: { inject: (d) => kill(d, d.environment.pickRandom(d.environment.machines('store'))) },
  killController: { inject: (d) => kill(d, d.environment.pickRandom(d.environment.machines('controller'))) },
  killConfigurationLeader: { inject: (d) => kill(d, d.environment.configurationLeader()) },
  killDispatcher: { inject: (d) => kill(d, d.environment.dispatcher()) },
  freezeFront: {
    inject: (d) => {
      d.freeze(d.environment.pickRandom(d.environment.machines('front')), d.randomSpan(500, 9000));
      return true;
    },
  },
  freezeStore: { inject: (d) => freeze(d, d.environment.pickRandom(d.environment.machines('store'))) },
  freezeConfigurationLeader: { inject: (d) => freeze(d, d.environment.configurationLeader()) },
  freezeDispatcher: { inject: (d) => freeze(d, d.environment.dispatcher()) },
  /** More than half of everything is killed at once. */
  herdKilled: {
    inject: (d) => {
      const backMs = 3000;
      if (!d.reserveLossOfAll(backMs)) return false;
      for (const name of d.randomSubset(d.machines(), 0.6)) d.kill(name, d.randomSpan(500, backMs));
      for (const replica of d.randomSubset(d.servingReplicas(), 0.6)) d.crashReplica(replica, d.randomSpan(500, backMs));
      return true;
    },
  },
  controllersKilled: {
    inject: (d) => {
      const backMs = 3000;
      if (!d.reserveLossOfAll(backMs)) return false;
      for (const name of d.environment.machines('controller')) d.kill(name, d.randomSpan(300, backMs));
      return true;
    },
  },
  everybodyKilled: {
    inject: (d) => {
      const backMs = 2500;
      if (!d.reserveLossOfAll(backMs)) return false;
      for (const name of d.machines()) d.kill(name, d.randomSpan(300, backMs));
      return true;
    },
  },
  /** Two that hold copies, and perhaps all fronts, run several times slower. */
  machinesSlow: {
    inject: (d) => {
      const name = d.environment.pickRandom(d.stateMachineHosts());
      const forMs = d.randomSpan(2000, 8000);
      if (!d.reserveLoss([name], forMs)) return false;
      for (const slow of [name, ...d.randomSubset(d.environment.machines('front'), 0.3)]) d.slowDown(slow, d.randomSpan(3, 10), forMs);
      return true;
    },
  },
  controllersRoll: { inject: (d) => roll(d, d.environment.machines('controller')) },
  storesRoll: { inject: (d) => roll(d, d.environment.machines('store')) },
  frontsRoll: {
    inject: (d) => {
      d.environment.machines('front').forEach((name, position) =>
        d.environment.schedule(position * 700, () => {
          d.environment.shutDown(name);
          d.environment.scheduleRestart(name, 2000);
        }),
      );
      return true;
    },
  },
  /** The machine that leads the configuration is killed again and again. */
  leaderKilledAgain: {
    inject: (d) => {
      const name = d.environment.configurationLeader();
      const times = 3;
      const everyMs = 1500;
      if (!d.reserveLoss([name], everyMs * times)) return false;
      for (let time = 0; time < times; time += 1) d.environment.schedule(time * everyMs, () => d.kill(name, everyMs / 3));
      return true;
    },
  },
};
