import * as fc from 'fast-check';
import { ModelCommand } from './modelCommand.js';
import type { ModelCluster } from './modelCluster.js';
import type { ModelMachine } from './modelMachine.js';

const machineDrawn = ModelCommand.drawn;
const gapMs = fc.oneof(
  { weight: 2, arbitrary: fc.nat({ max: 60 }) },
  { weight: 2, arbitrary: fc.nat({ max: 1200 }) },
  { weight: 1, arbitrary: fc.nat({ max: 6000 }) },
);
const offMs = fc.oneof(fc.nat({ max: 200 }), fc.nat({ max: 4000 }));
/** More machines than these show nothing new, and cost time. */
const maxMachines = 10;

function fault(
  says: string,
  drawn: number,
  gap: number,
  act: (cluster: ModelCluster, machine: ModelMachine) => void,
  can: (cluster: ModelCluster, machine: ModelMachine) => boolean = (_cluster, machine) => machine.node !== undefined,
): ModelCommand {
  return new ModelCommand({
    says: `${says} ${drawn}`,
    gapMs: gap,
    can: (cluster) => {
      const machine = ModelCommand.machine(cluster, drawn);
      return machine !== undefined && can(cluster, machine);
    },
    act: (cluster) => {
      const machine = ModelCommand.machine(cluster, drawn);
      if (machine !== undefined) act(cluster, machine);
    },
  });
}

function restart(cluster: ModelCluster, machine: ModelMachine, afterMs: number): void {
  cluster.time.after(afterMs, () => cluster.start(machine));
}

const spare = (cluster: ModelCluster, machine: ModelMachine): boolean => cluster.maySpare(machine);

const crash = fc.tuple(machineDrawn, gapMs, offMs).map(([drawn, gap, off]) =>
  fault(`crash for ${off} ms`, drawn, gap, (cluster, machine) => {
    cluster.kill(machine);
    restart(cluster, machine, off);
  }),
);

const crashAtWrite = fc
  .tuple(machineDrawn, gapMs, offMs, fc.integer({ min: 1, max: 6 }), fc.boolean())
  .map(([drawn, gap, off, writes, after]) =>
    fault(`crash for ${off} ms ${after ? 'after' : 'in'} write ${writes}`, drawn, gap, (cluster, machine) =>
      machine.trap.arm(writes, after, () => restart(cluster, machine, off)),
    ),
  );

const powerLoss = fc.tuple(gapMs, offMs, fc.nat({ max: 400 })).map(
  ([gap, off, apart]) =>
    new ModelCommand({
      says: `power loss of all for ${off} ms, back ${apart} ms apart`,
      gapMs: gap,
      can: () => true,
      act: (cluster) => {
        for (const machine of cluster.machines) cluster.kill(machine);
        cluster.machines.forEach((machine, position) => restart(cluster, machine, off + position * apart));
      },
    }),
);

/** The disk of one goes while the others lose their power, as at the end of a day. */
const powerAndDiskLoss = fc.tuple(machineDrawn, gapMs, offMs).map(([drawn, gap, off]) =>
  fault(
    `power loss of all for ${off} ms and disk loss of`,
    drawn,
    gap,
    (cluster, machine) => {
      for (const other of cluster.machines) cluster.kill(other);
      cluster.loseDisk(machine);
      for (const other of cluster.machines) restart(cluster, other, off);
    },
    spare,
  ),
);

/** Two are asked to take over, as by late or doubled offers of a leader; they stand against each other. */
const stand = fc.tuple(machineDrawn, fc.nat({ max: 30 }), machineDrawn).map(([drawn, gap, also]) =>
  fault(`hand over to ${also} and`, drawn, gap, (cluster, machine) => {
    for (const one of new Set([machine, ModelCommand.machine(cluster, also)])) one?.node?.stand();
  }),
);

const loseDisk = fc.tuple(machineDrawn, gapMs, offMs).map(([drawn, gap, off]) =>
  fault(
    `lose the disk, back after ${off} ms,`,
    drawn,
    gap,
    (cluster, machine) => {
      cluster.loseDisk(machine);
      restart(cluster, machine, off);
    },
    spare,
  ),
);

/** A byte of what was synced turns, and the process ends at one of its first writes after that, or does not. */
const damage = fc.tuple(machineDrawn, gapMs, offMs, fc.nat({ max: 4 }), fc.boolean()).map(([drawn, gap, off, writes, after]) =>
  fault(
    `damage the file, back after ${off} ms, ending ${after ? 'after' : 'in'} write ${writes}`,
    drawn,
    gap,
    (cluster, machine) => {
      cluster.damageDisk(machine);
      if (writes > 0) machine.trap.arm(writes, after, () => restart(cluster, machine, off));
      restart(cluster, machine, off);
    },
    spare,
  ),
);

const replaceDead = fc.tuple(machineDrawn, gapMs).map(([drawn, gap]) =>
  fault(
    'lose for good and replace',
    drawn,
    gap,
    (cluster, machine) => {
      cluster.loseDisk(machine);
      machine.retired = true;
      cluster.replace(machine);
    },
    (cluster, machine) => cluster.wanted.includes(machine.name) && cluster.machines.length < maxMachines && cluster.maySpare(machine),
  ),
);

const replaceLive = fc.tuple(machineDrawn, gapMs).map(([drawn, gap]) =>
  fault(
    'replace the running',
    drawn,
    gap,
    (cluster, machine) => cluster.replace(machine),
    (cluster, machine) => cluster.wanted.includes(machine.name) && cluster.machines.length < maxMachines,
  ),
);

const leave = fc
  .tuple(machineDrawn, gapMs, offMs)
  .map(([drawn, gap, off]) =>
    fault(`polite end for ${off} ms of`, drawn, gap, (cluster, machine) => cluster.leave(machine, () => restart(cluster, machine, off))),
  );

const freeze = fc.tuple(machineDrawn, gapMs, offMs).map(([drawn, gap, off]) =>
  fault(`freeze for ${off} ms`, drawn, gap, (cluster, { machine }) => {
    machine.freeze();
    cluster.time.after(off, () => machine.wake());
  }),
);

const cutOneWay = fc.tuple(machineDrawn, gapMs, machineDrawn).map(([drawn, gap, to]) =>
  fault(`cut the way to ${to} from`, drawn, gap, (cluster, { name }) => {
    const other = ModelCommand.machine(cluster, to);
    if (other !== undefined && other.name !== name) cluster.net.cut(name, other.name);
  }),
);

const isolate = fc.tuple(machineDrawn, gapMs).map(([drawn, gap]) => fault('isolate', drawn, gap, ({ net }, { name }) => net.isolate(name)));

const heal = gapMs.map((gap) => new ModelCommand({ says: 'heal', gapMs: gap, can: () => true, act: ({ net }) => net.heal() }));

const ratio = fc.constantFrom(0, 0.05, 0.2);
const trouble = fc.tuple(gapMs, ratio, ratio, ratio, fc.constantFrom(5, 300, 3000)).map(
  ([gap, loss, double, late, lateMs]) =>
    new ModelCommand({
      says: `messages lost ${loss}, doubled ${double}, late ${late} by up to ${lateMs} ms`,
      gapMs: gap,
      can: () => true,
      act: ({ net }) => Object.assign(net, { lossRatio: loss, doubleRatio: double, lateRatio: late, lateMs }),
    }),
);

const slowDisk = fc.tuple(machineDrawn, gapMs, fc.constantFrom(1, 12, 360)).map(([drawn, gap, syncMs]) =>
  fault(`syncs take ${syncMs} ms at`, drawn, gap, (_cluster, { disk }) => {
    disk.syncMs = syncMs;
  }),
);

const pass = gapMs.map((gap) => new ModelCommand({ says: 'pass', gapMs: gap, can: () => true, act: () => undefined }));

/** What fails, and what mends it. */
export const faultCommands: readonly fc.Arbitrary<ModelCommand>[] = [
  crash,
  crashAtWrite,
  crashAtWrite,
  powerLoss,
  powerAndDiskLoss,
  stand,
  stand,
  loseDisk,
  loseDisk,
  damage,
  replaceDead,
  replaceLive,
  leave,
  freeze,
  cutOneWay,
  cutOneWay,
  isolate,
  heal,
  heal,
  trouble,
  slowDisk,
  pass,
];
