import type { SimFault } from './simFault.js';

const backMs = 3000;

/** Power is lost: nothing answers, not even a refusal, and what was not synced is kept or lost by itself. */
export const powerFaults: Readonly<Record<string, SimFault>> = {
  /** The lights go out for a third of everything at once, and come back. */
  power: {
    inject: (d) => {
      if (!d.reserveLossOfAll(backMs)) return false;
      for (const name of d.machines().filter(() => d.chance(0.34))) d.powerOff(name, d.randomSpan(500, backMs));
      return true;
    },
  },
  powerOffAll: {
    inject: (d) => {
      if (!d.reserveLossOfAll(backMs)) return false;
      for (const name of d.machines()) d.powerOff(name, d.randomSpan(500, backMs));
      return true;
    },
  },
  powerOffKeeper: {
    inject: (d) => {
      const name = d.environment.pickRandom(d.stateMachineHosts());
      const offMs = d.randomSpan(500, 6000);
      if (!d.reserveLoss([name], offMs)) return false;
      d.powerOff(name, offMs);
      return true;
    },
  },
  /** A controller loses its power while it writes one change after another. */
  powerOffWhileWriting: {
    inject: (d) => {
      const name = d.environment.configurationLeader();
      const offMs = d.randomSpan(500, 4000);
      if (!d.reserveLoss([name], offMs)) return false;
      for (let change = 0; change < 8; change += 1) d.environment.schedule(change * 40, () => void d.operators.sendChange());
      d.environment.schedule(d.randomSpan(20, 300), () => d.powerOff(name, offMs));
      return true;
    },
  },
  /** The machine that acknowledged a change, and the one that leads, lose their power as the acknowledgement is on its way. */
  powerOffAfterAck: {
    inject: (d) => {
      const name = d.environment.configurationLeader();
      const offMs = d.randomSpan(500, 4000);
      if (!d.reserveLoss([name], offMs)) return false;
      void d.operators.sendChange({ at: name }).then(() => d.powerOff(name, offMs));
      return true;
    },
  },
  /** As before, and it comes back with an empty disk while all others lose their power too. */
  wipedAfterAck: {
    inject: (d) => {
      const name = d.environment.configurationLeader();
      if (!d.reserveLossOfAll(backMs)) return false;
      void d.operators.sendChange({ at: name }).then(() => {
        const others = d.stateMachineHosts().filter((other) => other !== name && d.chance(0.5));
        for (const other of others) d.powerOff(other, d.randomSpan(500, backMs));
        d.wipe(name, d.randomSpan(500, backMs));
      });
      return true;
    },
  },
  /** A store that leads loses its disk right after a batch was accepted. */
  wipedAfterAccept: {
    inject: (d) => {
      const offMs = d.randomSpan(500, 4000);
      const name = d.environment.pickRandom(d.environment.machines('store'));
      if (!d.reserveLoss([name], offMs)) return false;
      d.environment.traffic.flood('north', 5);
      d.environment.schedule(d.randomSpan(5, 400), () => d.wipe(name, offMs));
      return true;
    },
  },
};
