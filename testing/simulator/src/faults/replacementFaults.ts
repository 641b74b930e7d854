import type { SimFault } from './simFault.js';

/** Machines are added, replaced by empty ones at other addresses, or emptied and taken away. */
export const replacementFaults: Readonly<Record<string, SimFault>> = {
  frontAdded: {
    act: (d) => {
      d.environment.fleet.start(d.environment.newMachine('front'));
      return true;
    },
  },
  storeAdded: {
    joining: true,
    act: (d) => {
      d.environment.fleet.start(d.environment.newMachine('store'));
      return true;
    },
  },
  /** One that holds copies is gone for good, and an empty one comes at another address. */
  keeperReplaced: {
    joining: true,
    act: (d) => {
      const name = d.environment.pick(d.keepers());
      const goneMs = d.span(500, 3000);
      if (!d.lose([name], goneMs)) return false;
      const { role } = d.environment.fleet.host(name);
      d.environment.fleet.remove(name);
      d.environment.later(goneMs, () => d.environment.fleet.start(d.environment.newMachine(role)));
      return true;
    },
  },
  /** The new one comes first, then the old one leaves politely and is taken away. */
  keeperReplacedInOrder: {
    joining: true,
    act: (d) => {
      const name = d.environment.pick(d.keepers());
      const overlapMs = 2000;
      if (!d.lose([name], overlapMs)) return false;
      d.environment.fleet.start(d.environment.newMachine(d.environment.fleet.host(name).role));
      d.environment.later(overlapMs, () => d.environment.takeAway(name));
      return true;
    },
  },
  /** A store more than is needed joins; another is emptied and taken away once that is settled. */
  storeRetired: {
    joining: true,
    act: (d) => {
      const name = d.environment.pick(d.environment.machines('store'));
      if (!d.lose([], 0) || d.environment.losses.free() === 0) return false;
      d.environment.fleet.start(d.environment.newMachine('store'));
      d.environment.later(1500, () => void d.environment.retire(name));
      return true;
    },
  },
};
