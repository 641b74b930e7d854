import type { Address } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import type { ReplicaTask, ReplicaTransport, RunEnd } from '@pewterlanding/proxy';
import * as v from 'valibot';
import type { HistoryEvent } from '../history/index.js';
import type { Instance, SimMachine, SimTime } from '../engine/index.js';
import type { ReplicaFault } from './replicaFault.js';
import type { SimNet } from '../network/index.js';
import type { SimReplica } from './simReplica.js';

interface SimReplicaTransportOptions {
  readonly machine: SimMachine;
  readonly instance: Instance;
  readonly clock: Clock;
  readonly time: SimTime;
  readonly net: SimNet;
  readonly random: () => number;
  readonly replicas: ReadonlyMap<Address, SimReplica>;
  readonly note: (historyEvent: HistoryEvent) => void;
}

/** What every run writes. */
const outputBytes = 200;
/** How long a replica that is full keeps a task before it says so. */
const busyMs = 300;
/** What the simulated clients send; its length counts against quotas, so the field keeps the name that recorded histories used. */
const Input = v.object({ key: v.string(), branch: v.optional(v.string()) });

/** The way from a front to the simulated replicas. A run goes on at the replica whatever becomes of the front. */
export class SimReplicaTransport implements ReplicaTransport {
  readonly #options: SimReplicaTransportOptions;

  constructor(options: SimReplicaTransportOptions) {
    this.#options = options;
  }

  run(task: ReplicaTask, piece: (data: string) => void, abort: AbortSignal): Promise<RunEnd> {
    const { machine, instance, clock, time, net, replicas } = this.#options;
    return new Promise((resolve) => {
      let over = false;
      let stopWatching = (): void => undefined;
      const end = (result: RunEnd): void => {
        if (over || instance.dead) return;
        over = true;
        cancel();
        stopWatching();
        resolve(result);
      };
      const cancel = clock.after(task.rule.runMs, () => end({ kind: 'broken', reason: 'out of time', bytes: 0 }));
      abort.addEventListener('abort', () => end({ kind: 'broken', reason: 'left', bytes: 0 }));
      const sentMs = time.nowMs;
      const replica = replicas.get(task.address);
      if (replica === undefined) return;
      const obstacle = net.obstacle(machine.name, replica.machine.name);
      if (obstacle === 'silent' || !replica.machine.powered) return;
      if (obstacle !== undefined) {
        clock.after(1, () => end(obstacle === 'refused' ? { kind: 'unsent' } : { kind: 'broken', reason: 'reset', bytes: 0 }));
        return;
      }
      stopWatching = net.onReset(machine.name, replica.machine.name, () =>
        machine.run(() => end({ kind: 'broken', reason: 'reset', bytes: 0 })),
      );
      let lastMs = 0;
      time.after(net.delayMs(machine, replica.machine), () =>
        replica.machine.run(() => {
          // Whatever the replica sends back crosses the network to a front that may be gone by then.
          const send = (print: () => void): void => {
            if (!net.passes(replica.machine.name, machine.name)) return;
            // One circuit keeps its order.
            lastMs = Math.max(lastMs, time.nowMs + net.delayMs(replica.machine, machine));
            time.after(lastMs - time.nowMs, () =>
              machine.run(() => {
                if (!over && !instance.dead) print();
              }),
            );
          };
          if (replica.instance.dead) send(() => end({ kind: 'unsent' }));
          else
            this.#take(
              replica,
              task,
              sentMs,
              (data) => send(() => piece(data)),
              (result) => send(() => end(result)),
            );
        }),
      );
    });
  }

  #take(replica: SimReplica, task: ReplicaTask, sentMs: number, piece: (data: string) => void, end: (result: RunEnd) => void): void {
    const { time, random, note } = this.#options;
    const service = replica.services[task.service];
    const trouble = this.#met(replica);
    if (trouble?.kind === 'mute') return;
    if (service === undefined || replica.running >= replica.slots || trouble?.kind === 'sheds') {
      end({ kind: 'status', status: service === undefined ? 404 : 503 });
      return;
    }
    if (trouble?.kind === 'busy') {
      time.after(busyMs, () => replica.machine.run(() => end({ kind: 'status', status: 503 })));
      return;
    }
    const { instance } = replica;
    const input = v.parse(Input, JSON.parse(task.input));
    replica.running += 1;
    replica.runs += 1;
    const run = `${replica.address}/${replica.incarnation}/${replica.runs}`;
    note({
      type: 'ran',
      atMs: time.nowMs,
      sentMs,
      key: input.key,
      run,
      replica: replica.address,
      service: task.service,
      quota: input.branch,
      bytes: task.input.length + outputBytes,
    });
    const answer = (result: RunEnd): void => {
      if (trouble?.kind !== 'hangs') end(result);
    };
    const finish = (result: RunEnd): void => {
      replica.running -= 1;
      if (trouble?.kind === 'errors') answer({ kind: 'status', status: 500 });
      else if (trouble?.kind === 'answersLost') answer({ kind: 'broken', reason: 'the answer was lost', bytes: 0 });
      else answer(result);
    };
    instance.onEnd(() => end({ kind: 'broken', reason: 'the replica broke off', bytes: 0 }));
    const says = trouble === undefined || ['slow', 'garbles', 'resets'].includes(trouble.kind);
    const stepMs = (service.runMs / service.pieces) * (trouble?.kind === 'slow' ? (trouble.slowRatio ?? 1) : 1);
    const step = (number: number): void => {
      time.after(stepMs * (0.5 + random()), () =>
        replica.machine.run(() => {
          if (instance.dead) return;
          const breaksAt = trouble?.kind === 'resets' ? 0 : trouble?.kind === 'garbles' ? service.pieces >> 1 : service.pieces;
          if (number >= breaksAt) {
            finish({ kind: 'broken', reason: 'the answer broke off', bytes: 0 });
            return;
          }
          if (service.kind === 'streamed' && says) piece(JSON.stringify({ run, number, of: service.pieces }));
          if (number + 1 < service.pieces) step(number + 1);
          else finish({ kind: 'done', body: JSON.stringify({ key: input.key, run }), bytes: outputBytes });
        }),
      );
    };
    step(0);
  }

  /** What is wrong with the replica for this task, if anything is. */
  #met(replica: SimReplica): ReplicaFault | undefined {
    const { machine, random } = this.#options;
    const { fault: trouble } = replica;
    if (trouble === undefined || (trouble.zone !== undefined && trouble.zone !== machine.zone)) return undefined;
    return random() < trouble.ratio ? trouble : undefined;
  }
}
