import type { SimFault } from './simFault.js';
import { simService } from '../simulation/index.js';

const lossRatio = 0.7;

/** Operators race, change much, send what is wrong, or miss their acknowledgements. */
export const operatorFaults: Readonly<Record<string, SimFault>> = {
  /** Two operators at once, each at a controller machine of its own. */
  operatorsRace: {
    inject: (d) => {
      for (const [position, controller] of d.environment.machines('controller').slice(0, 2).entries())
        void d.environment.changeConfiguration(
          { part: { bounds: { batchConcurrencyLimit: 100 + Math.floor(d.environment.fleet.random() * 50) + position } } },
          controller,
        );
      return true;
    },
  },
  /** Two orders under one number, and two under two numbers, all on one version. */
  ordersRace: {
    inject: (d) => {
      void d.operators.sendConcurrently([1, 1]);
      d.environment.schedule(1500, () => void d.operators.sendConcurrently([1, 2]));
      return true;
    },
  },
  /** Acknowledgements are lost, and the same orders are sent again to other controllers. */
  acksLost: {
    inject: (d) => {
      for (let order = 0; order < 4; order += 1) d.environment.schedule(order * 700, () => void d.operators.sendChange({ lossRatio }));
      void d.operators.sendConcurrently([1, 1], lossRatio);
      return true;
    },
  },
  ordersBurst: {
    inject: (d) => {
      for (let order = 0; order < 12; order += 1) d.environment.schedule(order * 150, () => void d.operators.sendChange());
      return true;
    },
  },
  wrongOrders: {
    inject: (d) => {
      void d.operators.sendInvalidChanges();
      return true;
    },
  },
  configurationBurst: {
    inject: (d) => {
      for (let change = 0; change < 5; change += 1)
        d.environment.schedule(
          change * 300,
          () => void d.environment.changeConfiguration({ part: { bounds: { requeueAttempts: 400 + change } } }),
        );
      return true;
    },
  },
  readConfiguration: {
    inject: (d) => {
      void d.environment.readConfiguration();
      return true;
    },
  },
  /** A service and a branch that callers use are pruned, and planted again a while later. */
  prune: {
    inject: (d) => {
      const planted = {
        services: { memo: simService('whole', true, d.environment.hosts) },
        quotas: { guest: { share: 0.05, lends: false } },
      };
      void d.changeTemporarily({ services: { memo: null }, quotas: { guest: null } }, planted, d.randomSpan(4000, 9000));
      return true;
    },
  },
  /** A bound that callers notice becomes smaller than the batches they hand in, and is lifted again. */
  tighten: {
    inject: (d) => {
      void d.changeTemporarily({ bounds: { maxItems: 3 } }, { bounds: { maxItems: 1000 } }, d.randomSpan(3000, 7000));
      return true;
    },
  },
  crowd: {
    inject: (d) => {
      for (let task = 0; task < 400; task += 1) d.environment.schedule(task * 2, () => d.environment.traffic.task());
      return true;
    },
  },
};
