import type { SimFault } from './simFault.js';

const partsMs = [1000, 9000] as const;

/** The network is cut, loses messages, or has its connections reset. */
export const cutFaults: Readonly<Record<string, SimFault>> = {
  isolateController: { act: (d) => d.isolate(d.environment.pick(d.environment.machines('controller'))) },
  isolateStore: { act: (d) => d.isolate(d.environment.pick(d.environment.machines('store'))) },
  isolateFront: {
    act: (d) => {
      d.cut([d.environment.pick(d.environment.machines('front'))], d.everybody(), d.span(...partsMs), d.cutMode());
      return true;
    },
  },
  /** One controller machine hears the others, which do not hear it; or the other way round. */
  oneWayCut: {
    act: (d) => {
      const deaf = d.environment.pick(d.environment.machines('controller'));
      const forMs = d.span(...partsMs);
      if (!d.lose([deaf], forMs)) return false;
      d.cut([deaf], d.everybody(), forMs, 'silent', d.chance(0.5) ? 'in' : 'out');
      return true;
    },
  },
  /** A machine that holds copies is cut from the others that do, while fronts still reach all of them. */
  keeperCut: {
    act: (d) => {
      const name = d.environment.pick(d.keepers());
      const forMs = d.span(2000, 12_000);
      if (!d.lose([name], forMs)) return false;
      d.cut([name], d.keepers(), forMs, d.cutMode());
      return true;
    },
  },
  keeperCutOneWay: {
    act: (d) => {
      const name = d.environment.pick(d.keepers());
      const forMs = d.span(2000, 12_000);
      if (!d.lose([name], forMs)) return false;
      d.cut([name], d.keepers(), forMs, 'silent', d.chance(0.5) ? 'in' : 'out');
      return true;
    },
  },
  /** The machine that leads the configuration, cut from the others that hold copies. */
  leaderCut: {
    act: (d) => {
      const name = d.environment.configurationLeader();
      const forMs = d.span(4000, 20_000);
      if (!d.lose([name], forMs)) return false;
      d.cut([name], d.keepers(), forMs, d.cutMode());
      return true;
    },
  },
  /** The machine that dispatches, cut from the others that hold copies. */
  dispatcherCut: {
    act: (d) => {
      const name = d.environment.dispatcher();
      const forMs = d.span(4000, 20_000);
      if (!d.lose([name], forMs)) return false;
      d.cut([name], d.keepers(), forMs, d.cutMode());
      return true;
    },
  },
  /** One controller machine here, the others there, the rest of the fleet hearing both. */
  controllersSplit: {
    act: (d) => {
      const lone = d.environment.pick(d.environment.machines('controller'));
      const forMs = d.span(...partsMs);
      if (!d.lose([lone], forMs)) return false;
      d.cut([lone], d.environment.machines('controller'), forMs, d.cutMode());
      return true;
    },
  },
  /** The whole controller is cut off from everybody else. */
  controllersCutOff: {
    act: (d) => {
      const forMs = d.span(...partsMs);
      if (!d.loseAll(forMs)) return false;
      d.cut(d.environment.machines('controller'), d.everybody(), forMs, d.cutMode());
      return true;
    },
  },
  /** Some fronts hear none of the machines that hold copies. */
  frontsCut: {
    act: (d) => {
      d.cut(d.some(d.environment.machines('front'), 0.2), d.keepers(), d.span(...partsMs), d.cutMode());
      return true;
    },
  },
  /** Some replicas are out of reach of all fronts, or of some. */
  replicasCut: {
    act: (d) => {
      const names = d.some(d.replicas(), 0.2).map(({ machine }) => machine.name);
      d.cut(names, d.some(d.environment.machines('front'), 0.7), d.span(...partsMs), d.cutMode());
      return true;
    },
  },
  loss: {
    act: (d) => {
      d.environment.fleet.net.lossRatio = d.span(0.01, 0.1);
      d.environment.later(d.span(1000, 5000), () => {
        d.environment.fleet.net.lossRatio = 0;
      });
      return true;
    },
  },
  /** Half of the connections of some machines are reset. */
  connectionsReset: {
    act: (d) => {
      const replicas = [...d.environment.fleet.replicas.values()].map(({ machine }) => machine.name);
      for (const name of d.some(d.everybody(), 0.1))
        for (const other of [...d.everybody(), ...replicas])
          if (other !== name && d.chance(0.5)) d.environment.fleet.net.reset(name, other);
      return true;
    },
  },
};
