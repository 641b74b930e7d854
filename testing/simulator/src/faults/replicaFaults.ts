import type { Disruption, ReplicaTrouble } from '../simulation/index.js';
import type { SimFault } from './simFault.js';

const spotNoticeMs = 2000;
const spotBackMs = 4000;

/** Some replicas go on announcing themselves and do not do their work as they should. */
function troubled(trouble: ReplicaTrouble, share = 0.25): SimFault {
  return {
    act: (d) => {
      const zone = d.chance(0.25) ? { zone: d.environment.pick(['a', 'b', 'c']) } : {};
      for (const replica of d.some(d.replicas(), share)) d.trouble(replica, { ...trouble, ...zone }, d.span(2000, 8000));
      return true;
    },
  };
}

/** What stands at a replica's address goes, and a while later another service stands there. */
function reused(goes: (d: Disruption, at: ReturnType<Disruption['replicas']>[number]) => void): SimFault {
  return {
    act: (d) => {
      const [one, other] = d.pairOfServices();
      if (one === undefined || other === undefined) return true;
      for (const replica of [one, other]) goes(d, replica);
      d.environment.later(3900, () => {
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
    act: (d) => {
      d.crash(d.environment.pick(d.replicas()), d.span(500, 12_000));
      return true;
    },
  },
  /** The replica goes dark: its machine stands still, its connections stay open. */
  replicaDark: {
    act: (d) => {
      const { machine } = d.environment.pick(d.replicas());
      machine.freeze();
      d.environment.later(d.span(1000, 9000), () => machine.wake());
      return true;
    },
  },
  replicaLeaves: {
    act: (d) => {
      d.leave(d.environment.pick(d.replicas()), 3500, d.span(4000, 8000));
      return true;
    },
  },
  /** Replicas are replaced one after another. */
  replicasRoll: {
    act: (d) => {
      d.replicas()
        .slice(0, 4)
        .forEach((replica, position) => d.environment.later(position * 1200, () => d.leave(replica, 3500, 4000)));
      return true;
    },
  },
  /** Some leave at short notice, at once, and others come a while later. */
  spotReplicasLeave: {
    act: (d) => {
      for (const replica of d.some(d.replicas(), 0.3)) d.leave(replica, spotNoticeMs, spotNoticeMs + spotBackMs);
      return true;
    },
  },
  /** Some leave in order and come back much later. */
  replicasScaleIn: {
    act: (d) => {
      for (const replica of d.some(d.replicas(), 0.2)) d.leave(replica, 3500, d.span(8000, 12_000));
      return true;
    },
  },
  replicasScaleOut: {
    act: (d) => {
      const places = d.some(d.replicas(), 0.3);
      places.forEach((like, position) => d.environment.later(position * 300, () => d.addReplica(like)));
      return true;
    },
  },
  addressReusedAfterCrash: reused((d, replica) => d.crash(replica, 4000)),
  addressReusedAfterDrain: reused((d, replica) => d.leave(replica, 3500, 4000)),
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
    act: (d) => {
      for (const replica of d.some(d.replicas(), 0.3)) d.overclaim(replica, 4, d.span(3000, 9000));
      return true;
    },
  },
  /** One falls over and is back, again and again. */
  replicaFlaps: {
    act: (d) => {
      const replica = d.environment.pick(d.replicas());
      for (let time = 0; time < 5; time += 1)
        d.environment.later(time * 1200, () => {
          if (!replica.instance.dead) d.crash(replica, 500);
        });
      return true;
    },
  },
};
