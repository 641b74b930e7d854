import type { SimFault } from './simFault.js';

const tryAgainMs = 1000;

/** Disks are slow, full, stalled, lost or damaged. */
export const diskFaults: Readonly<Record<string, SimFault>> = {
  slowDisk: {
    inject: (d) => {
      const { disk } = d.environment.fleet.host(d.environment.pickRandom(d.stateMachineHosts()));
      disk.syncMs = d.randomSpan(50, 1500);
      d.environment.schedule(d.randomSpan(2000, 8000), () => disk.mend());
      return true;
    },
  },
  /** It takes no more bytes; the process that ends over it is started again until it does. */
  fullDisk: {
    inject: (d) => {
      const name = d.environment.pickRandom(d.stateMachineHosts());
      const forMs = d.randomSpan(1000, 6000);
      if (!d.reserveLoss([name], forMs + tryAgainMs)) return false;
      const { disk } = d.environment.fleet.host(name);
      disk.full = true;
      for (let afterMs = tryAgainMs; afterMs < forMs + tryAgainMs; afterMs += tryAgainMs) d.environment.scheduleRestart(name, afterMs);
      d.environment.schedule(forMs, () => {
        disk.mend();
        d.environment.scheduleRestart(name, tryAgainMs);
      });
      return true;
    },
  },
  /** It answers nothing. */
  stalledDisk: {
    inject: (d) => {
      const name = d.environment.pickRandom(d.stateMachineHosts());
      const forMs = d.randomSpan(500, 8000);
      if (!d.reserveLoss([name], forMs)) return false;
      const { disk } = d.environment.fleet.host(name);
      disk.stall();
      d.environment.schedule(forMs, () => disk.goOn());
      return true;
    },
  },
  /** The disk is lost, and an empty machine comes back under the old name and address. */
  loseDisk: {
    inject: (d) => {
      const name = d.environment.pickRandom(d.stateMachineHosts());
      const offMs = d.randomSpan(500, 4000);
      if (!d.reserveLoss([name], offMs)) return false;
      d.wipe(name, offMs);
      return true;
    },
  },
  damageDisk: {
    inject: (d) => {
      const name = d.environment.pickRandom(d.stateMachineHosts());
      const offMs = d.randomSpan(500, 3000);
      if (!d.reserveLoss([name], offMs)) return false;
      d.kill(name, offMs);
      const { disk } = d.environment.fleet.host(name);
      const files = disk.files().filter((file) => !file.endsWith('.member'));
      if (files.length > 0) disk.damage(d.environment.pickRandom(files));
      return true;
    },
  },
};
