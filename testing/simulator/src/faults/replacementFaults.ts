import type { SimFault } from './simFault.js';

/** Machines are added, replaced by empty ones at other addresses, or emptied and taken away. */
export const replacementFaults: Readonly<Record<string, SimFault>> = {
  frontAdded: {
    inject: (d) => {
      d.environment.fleet.start(d.environment.addMachine('front'));
      return true;
    },
  },
  storeAdded: {
    joining: true,
    inject: (d) => {
      d.environment.fleet.start(d.environment.addMachine('store'));
      return true;
    },
  },
  /** One that holds copies is gone for good, and an empty one comes at another address. */
  keeperReplaced: {
    joining: true,
    inject: (d) => {
      const name = d.environment.pickRandom(d.stateMachineHosts());
      const goneMs = d.randomSpan(500, 3000);
      if (!d.reserveLoss([name], goneMs)) return false;
      const { role } = d.environment.fleet.host(name);
      d.environment.fleet.remove(name);
      d.environment.schedule(goneMs, () => d.environment.fleet.start(d.environment.addMachine(role)));
      return true;
    },
  },
  /** The new one comes first, then the old one leaves gracefully and is taken away. */
  keeperReplacedInOrder: {
    joining: true,
    inject: (d) => {
      const name = d.environment.pickRandom(d.stateMachineHosts());
      const overlapMs = 2000;
      if (!d.reserveLoss([name], overlapMs)) return false;
      d.environment.fleet.start(d.environment.addMachine(d.environment.fleet.host(name).role));
      d.environment.schedule(overlapMs, () => d.environment.decommission(name));
      return true;
    },
  },
  /** A store more than is needed joins; another is emptied and taken away once that is settled. */
  storeRetired: {
    joining: true,
    inject: (d) => {
      const name = d.environment.pickRandom(d.environment.machines('store'));
      if (!d.reserveLoss([], 0) || d.environment.losses.free() === 0) return false;
      d.environment.fleet.start(d.environment.addMachine('store'));
      d.environment.schedule(1500, () => void d.environment.emptyAndRemove(name));
      return true;
    },
  },
};
