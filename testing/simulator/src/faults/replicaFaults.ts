import type { Disruption, ReplicaFault } from '../simulation/index.js';
import type { SimFault } from './simFault.js';

const spotNoticeMs = 2000;
const spotBackMs = 4000;

/** Some replicas go on announcing themselves and do not do their work as they should. */
function troubled(trouble: ReplicaFault, share = 0.25): SimFault {
  return {
    inject: (d) => {
      const zone = d.chance(0.25) ? { zone: d.environment.pickRandom(['a', 'b', 'c']) } : {};
      for (const replica of d.randomSubset(d.servingReplicas(), share))
        d.injectReplicaFault(replica, { ...trouble, ...zone }, d.randomSpan(2000, 8000));
      return true;
    },
  };
}

/** What stands at a replica's address goes, and a while later another service stands there. */
function reused(goes: (d: Disruption, at: ReturnType<Disruption['servingReplicas']>[number]) => void): SimFault {
  return {
    inject: (d) => {
      const [one, other] = d.replicasOfTwoServices();
      if (one === undefined || other === undefined) return true;
      for (const replica of [one, other]) goes(d, replica);
      d.environment.schedule(3900, () => {
        const { services } = one;
        one.services = other.services;
        other.services = services;
      });
      return true;
    },
  };
}

/** Replicas crash, fall silent, leave, come, lie, or do their work badly. */
export const replicaFaults: Readonly<Record<string, SimFault>> = {
  replicaCrash: {
    inject: (d) => {
      d.crashReplica(d.environment.pickRandom(d.servingReplicas()), d.randomSpan(500, 12_000));
      return true;
    },
  },
  /** The replica goes dark: its machine stands still, its connections stay open. */
  replicaDark: {
    inject: (d) => {
      const { machine } = d.environment.pickRandom(d.servingReplicas());
      machine.freeze();
      d.environment.schedule(d.randomSpan(1000, 9000), () => machine.wake());
      return true;
    },
  },
  replicaLeaves: {
    inject: (d) => {
      d.drainReplica(d.environment.pickRandom(d.servingReplicas()), 3500, d.randomSpan(4000, 8000));
      return true;
    },
  },
  /** Replicas are replaced one after another. */
  replicasRoll: {
    inject: (d) => {
      d.servingReplicas()
        .slice(0, 4)
        .forEach((replica, position) => d.environment.schedule(position * 1200, () => d.drainReplica(replica, 3500, 4000)));
      return true;
    },
  },
  /** Some leave at short notice, at once, and others come a while later. */
  spotReplicasLeave: {
    inject: (d) => {
      for (const replica of d.randomSubset(d.servingReplicas(), 0.3)) d.drainReplica(replica, spotNoticeMs, spotNoticeMs + spotBackMs);
      return true;
    },
  },
  /** Some leave in order and come back much later. */
  replicasScaleIn: {
    inject: (d) => {
      for (const replica of d.randomSubset(d.servingReplicas(), 0.2)) d.drainReplica(replica, 3500, d.randomSpan(8000, 12_000));
      return true;
    },
  },
  replicasScaleOut: {
    inject: (d) => {
      const places = d.randomSubset(d.servingReplicas(), 0.3);
      places.forEach((like, position) => d.environment.schedule(position * 300, () => d.addReplica(like)));
      return true;
    },
  },
  addressReusedAfterCrash: reused((d, replica) => d.crashReplica(replica, 4000)),
  addressReusedAfterDrain: reused((d, replica) => d.drainReplica(replica, 3500, 4000)),
  replicasFail: troubled({ kind: 'errors', ratio: 0.4 }),
  replicasShed: troubled({ kind: 'sheds', ratio: 0.6 }),
  replicasBusy: troubled({ kind: 'busy', ratio: 0.6 }),
  replicasHang: troubled({ kind: 'hangs', ratio: 0.4 }),
  replicasMute: troubled({ kind: 'mute', ratio: 0.5 }),
  replicasReset: troubled({ kind: 'resets', ratio: 0.4 }),
  replicasGarble: troubled({ kind: 'garbles', ratio: 0.1 }, 0.5),
  replicasSlow: troubled({ kind: 'slow', ratio: 1, slowRatio: 6 }),
  answersLost: troubled({ kind: 'answersLost', ratio: 0.05 }, 0.5),
  /** They say that they have several times as much room as they have. */
  replicasLie: {
    inject: (d) => {
      for (const replica of d.randomSubset(d.servingReplicas(), 0.3)) d.overstateCapacity(replica, 4, d.randomSpan(3000, 9000));
      return true;
    },
  },
  /** One crashes and is back, again and again. */
  replicaFlaps: {
    inject: (d) => {
      const replica = d.environment.pickRandom(d.servingReplicas());
      for (let time = 0; time < 5; time += 1)
        d.environment.schedule(time * 1200, () => {
          if (!replica.instance.dead) d.crashReplica(replica, 500);
        });
      return true;
    },
  },
};
