import type { SimFault } from './simFault.js';

const backMs = 3000;

/** Power is lost: nothing answers, not even a refusal, and what was not synced is kept or lost by itself. */
export const powerFaults: Readonly<Record<string, SimFault>> = {
  /** The lights go out for a third of everything at once, and come back. */
  power: {
    act: (d) => {
      if (!d.loseAll(backMs)) return false;
      for (const name of d.everybody().filter(() => d.chance(0.34))) d.powerOff(name, d.span(500, backMs));
      return true;
    },
  },
  powerOffAll: {
    act: (d) => {
      if (!d.loseAll(backMs)) return false;
      for (const name of d.everybody()) d.powerOff(name, d.span(500, backMs));
      return true;
    },
  },
  powerOffKeeper: {
    act: (d) => {
      const name = d.environment.pick(d.keepers());
      const offMs = d.span(500, 6000);
      if (!d.lose([name], offMs)) return false;
      d.powerOff(name, offMs);
      return true;
    },
  },
  /** A controller loses its power while it writes one change after another. */
  powerOffWhileWriting: {
    act: (d) => {
      const name = d.environment.configurationLeader();
      const offMs = d.span(500, 4000);
      if (!d.lose([name], offMs)) return false;
      for (let change = 0; change < 8; change += 1) d.environment.later(change * 40, () => void d.operators.order());
      d.environment.later(d.span(20, 300), () => d.powerOff(name, offMs));
      return true;
    },
  },
  /** The machine that acknowledged a change, and the one that leads, lose their power as the acknowledgement is on its way. */
  powerOffAfterAck: {
    act: (d) => {
      const name = d.environment.configurationLeader();
      const offMs = d.span(500, 4000);
      if (!d.lose([name], offMs)) return false;
      void d.operators.order({ at: name }).then(() => d.powerOff(name, offMs));
      return true;
    },
  },
  /** As before, and it comes back with an empty disk while all others lose their power too. */
  wipedAfterAck: {
    act: (d) => {
      const name = d.environment.configurationLeader();
      if (!d.loseAll(backMs)) return false;
      void d.operators.order({ at: name }).then(() => {
        const others = d.keepers().filter((other) => other !== name && d.chance(0.5));
        for (const other of others) d.powerOff(other, d.span(500, backMs));
        d.wipe(name, d.span(500, backMs));
      });
      return true;
    },
  },
  /** A store that leads loses its disk right after a batch was accepted. */
  wipedAfterAccept: {
    act: (d) => {
      const offMs = d.span(500, 4000);
      const name = d.environment.pick(d.environment.machines('store'));
      if (!d.lose([name], offMs)) return false;
      d.environment.traffic.flood('north', 5);
      d.environment.later(d.span(5, 400), () => d.wipe(name, offMs));
      return true;
    },
  },
};
