import type { SimFault } from './simFault.js';

const tryAgainMs = 1000;

/** Disks are slow, full, stalled, lost or damaged. */
export const diskFaults: Readonly<Record<string, SimFault>> = {
  slowDisk: {
    act: (d) => {
      const { disk } = d.environment.fleet.host(d.environment.pick(d.keepers()));
      disk.syncMs = d.span(50, 1500);
      d.environment.later(d.span(2000, 8000), () => disk.mend());
      return true;
    },
  },
  /** It takes no more bytes; the process that ends over it is started again until it does. */
  fullDisk: {
    act: (d) => {
      const name = d.environment.pick(d.keepers());
      const forMs = d.span(1000, 6000);
      if (!d.lose([name], forMs + tryAgainMs)) return false;
      const { disk } = d.environment.fleet.host(name);
      disk.full = true;
      for (let afterMs = tryAgainMs; afterMs < forMs + tryAgainMs; afterMs += tryAgainMs) d.environment.restart(name, afterMs);
      d.environment.later(forMs, () => {
        disk.mend();
        d.environment.restart(name, tryAgainMs);
      });
      return true;
    },
  },
  /** It answers nothing. */
  stalledDisk: {
    act: (d) => {
      const name = d.environment.pick(d.keepers());
      const forMs = d.span(500, 8000);
      if (!d.lose([name], forMs)) return false;
      const { disk } = d.environment.fleet.host(name);
      disk.stall();
      d.environment.later(forMs, () => disk.goOn());
      return true;
    },
  },
  /** The disk is lost, and an empty machine comes back under the old name and address. */
  loseDisk: {
    act: (d) => {
      const name = d.environment.pick(d.keepers());
      const offMs = d.span(500, 4000);
      if (!d.lose([name], offMs)) return false;
      d.wipe(name, offMs);
      return true;
    },
  },
  damageDisk: {
    act: (d) => {
      const name = d.environment.pick(d.keepers());
      const offMs = d.span(500, 3000);
      if (!d.lose([name], offMs)) return false;
      d.kill(name, offMs);
      const { disk } = d.environment.fleet.host(name);
      const files = disk.files().filter((file) => !file.endsWith('.member'));
      if (files.length > 0) disk.damage(d.environment.pick(files));
      return true;
    },
  },
};
