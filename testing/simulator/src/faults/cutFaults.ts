import type { SimFault } from './simFault.js';

const partsMs = [1000, 9000] as const;

/** The network is cut, loses messages, or has its connections reset. */
export const cutFaults: Readonly<Record<string, SimFault>> = {
  isolateController: { inject: (d) => d.isolate(d.environment.pickRandom(d.environment.machines('controller'))) },
  isolateStore: { inject: (d) => d.isolate(d.environment.pickRandom(d.environment.machines('store'))) },
  isolateFront: {
    inject: (d) => {
      d.partition([d.environment.pickRandom(d.environment.machines('front'))], d.machines(), d.randomSpan(...partsMs), d.randomCutMode());
      return true;
    },
  },
  /** One controller machine hears the others, which do not hear it; or the other way round. */
  oneWayCut: {
    inject: (d) => {
      const deaf = d.environment.pickRandom(d.environment.machines('controller'));
      const forMs = d.randomSpan(...partsMs);
      if (!d.reserveLoss([deaf], forMs)) return false;
      d.partition([deaf], d.machines(), forMs, 'silent', d.chance(0.5) ? 'in' : 'out');
      return true;
    },
  },
  /** A machine that holds copies is cut from the others that do, while fronts still reach all of them. */
  keeperCut: {
    inject: (d) => {
      const name = d.environment.pickRandom(d.stateMachineHosts());
      const forMs = d.randomSpan(2000, 12_000);
      if (!d.reserveLoss([name], forMs)) return false;
      d.partition([name], d.stateMachineHosts(), forMs, d.randomCutMode());
      return true;
    },
  },
  keeperCutOneWay: {
    inject: (d) => {
      const name = d.environment.pickRandom(d.stateMachineHosts());
      const forMs = d.randomSpan(2000, 12_000);
      if (!d.reserveLoss([name], forMs)) return false;
      d.partition([name], d.stateMachineHosts(), forMs, 'silent', d.chance(0.5) ? 'in' : 'out');
      return true;
    },
  },
  /** The machine that leads the configuration, cut from the others that hold copies. */
  leaderCut: {
    inject: (d) => {
      const name = d.environment.configurationLeader();
      const forMs = d.randomSpan(4000, 20_000);
      if (!d.reserveLoss([name], forMs)) return false;
      d.partition([name], d.stateMachineHosts(), forMs, d.randomCutMode());
      return true;
    },
  },
  /** The machine that dispatches, cut from the others that hold copies. */
  dispatcherCut: {
    inject: (d) => {
      const name = d.environment.dispatcher();
      const forMs = d.randomSpan(4000, 20_000);
      if (!d.reserveLoss([name], forMs)) return false;
      d.partition([name], d.stateMachineHosts(), forMs, d.randomCutMode());
      return true;
    },
  },
  /** One controller machine here, the others there, the rest of the fleet hearing both. */
  controllersSplit: {
    inject: (d) => {
      const lone = d.environment.pickRandom(d.environment.machines('controller'));
      const forMs = d.randomSpan(...partsMs);
      if (!d.reserveLoss([lone], forMs)) return false;
      d.partition([lone], d.environment.machines('controller'), forMs, d.randomCutMode());
      return true;
    },
  },
  /** The whole controller is cut off from everybody else. */
  controllersCutOff: {
    inject: (d) => {
      const forMs = d.randomSpan(...partsMs);
      if (!d.reserveLossOfAll(forMs)) return false;
      d.partition(d.environment.machines('controller'), d.machines(), forMs, d.randomCutMode());
      return true;
    },
  },
  /** Some fronts hear none of the machines that hold copies. */
  frontsCut: {
    inject: (d) => {
      d.partition(d.randomSubset(d.environment.machines('front'), 0.2), d.stateMachineHosts(), d.randomSpan(...partsMs), d.randomCutMode());
      return true;
    },
  },
  /** Some replicas are out of reach of all fronts, or of some. */
  replicasCut: {
    inject: (d) => {
      const names = d.randomSubset(d.servingReplicas(), 0.2).map(({ machine }) => machine.name);
      d.partition(names, d.randomSubset(d.environment.machines('front'), 0.7), d.randomSpan(...partsMs), d.randomCutMode());
      return true;
    },
  },
  loss: {
    inject: (d) => {
      d.environment.fleet.net.lossRatio = d.randomSpan(0.01, 0.1);
      d.environment.schedule(d.randomSpan(1000, 5000), () => {
        d.environment.fleet.net.lossRatio = 0;
      });
      return true;
    },
  },
  /** Half of the connections of some machines are reset. */
  connectionsReset: {
    inject: (d) => {
      const replicas = [...d.environment.fleet.replicas.values()].map(({ machine }) => machine.name);
      for (const name of d.randomSubset(d.machines(), 0.1))
        for (const other of [...d.machines(), ...replicas]) if (other !== name && d.chance(0.5)) d.environment.fleet.net.reset(name, other);
      return true;
    },
  },
};
