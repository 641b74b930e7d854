import * as v from 'valibot';
import { allowsReplica, updateKeys, Replica } from '@pewterlanding/agent';
import type { Membership, Update } from '@pewterlanding/membership';
import type { Configuration } from '@pewterlanding/model';
import type { Clock, Counters, Disk, Transport } from '@pewterlanding/runtime';
import { ControllerContacts } from './controllerContacts.js';
import { controllerCalls } from '../controllerCalls.js';
import { HeartbeatExchange } from './heartbeatExchange.js';
import { KnownInstances } from './knownInstances.js';
import { LivenessMonitor } from './livenessMonitor.js';
import type { ReplicaInstance } from './replicaInstance.js';
import { ReplicaInstances } from './replicaInstances.js';

interface ReplicaRegistryOptions {
  readonly membership: Membership;
  readonly transport: Transport;
  readonly disk: Disk;
  readonly clock: Clock;
  readonly counters: Counters;
  /** The period of a replica's heartbeats. */
  readonly heartbeatMs: number;
  /** So many heartbeats missed, and an instance is suspected to be gone. */
  readonly silentRatio?: number;
  readonly configuration: () => Configuration | undefined;
}

const missedHeartbeats = 3.2;
/** Of a heartbeat period: how long changes are collected before they are written to disk. */
const writeDelayRatio = 1;
/** Of a heartbeat period: how long heartbeats are collected before they are sent to the other controllers. */
const collectRatio = 0.2;
/** Of a heartbeat period: the period of liveness checks, and of reports to the other controllers where there is no heartbeat. */
const checkRatio = 0.8;
/** Of a heartbeat period: an instance that is not serving is forgotten after so long. */
const forgetRatio = 60;
/** A controller with two reports missing is out of contact: sooner than an instance is declared silent. */
const contactRatio = checkRatio * 2;
/** A controller is named as heard from while its next report is late by less than half a period. */
const speakingRatio = checkRatio * 1.5;
/** The counter of an instance that has deregistered: no later heartbeat supersedes it. */
const finalCounter = Number.MAX_SAFE_INTEGER;
/** The second part of a version: a change of state that a controller decided supersedes the heartbeat it was decided on. */
const decidedTurn = 1;

/**
 * Takes the heartbeats of replicas, at any controller. Changes of state are gossiped to all nodes; that a heartbeat was received goes
 * to the other controllers alone. What the disk keeps only shortens the first moments after all controllers were off.
 */
export class ReplicaRegistry {
  readonly #options: ReplicaRegistryOptions;
  readonly #silentMs: number;
  readonly #instances: ReplicaInstances;
  readonly #contacts: ControllerContacts;
  readonly #exchange: HeartbeatExchange;
  readonly #monitor: LivenessMonitor;
  readonly #known: KnownInstances;

  /** Wires the registry, serves its call, and starts the liveness checks. */
  constructor(options: ReplicaRegistryOptions) {
    const { membership, transport, clock, heartbeatMs } = options;
    this.#options = options;
    this.#silentMs = heartbeatMs * (options.silentRatio ?? missedHeartbeats);
    this.#instances = new ReplicaInstances(clock);
    const replicas = (): readonly Replica[] => this.#instances.replicas();
    this.#known = new KnownInstances({ ...options, writeDelayMs: heartbeatMs * writeDelayRatio, instances: replicas });
    const contactMs = { lastingMs: heartbeatMs * contactRatio, speakingMs: heartbeatMs * speakingRatio };
    this.#contacts = new ControllerContacts({ membership, clock, ...contactMs });
    this.#exchange = new HeartbeatExchange({
      ...options,
      contacts: this.#contacts,
      collectMs: heartbeatMs * collectRatio,
      periodMs: heartbeatMs * checkRatio,
    });
    this.#monitor = this.#makeMonitor();
    membership.onUpdate((update) => this.#takeUpdate(update));
    transport.serve(controllerCalls.heard, async ({ from, instances, hears }) => {
      this.#contacts.heard(from, hears);
      for (const [key, counter] of instances) this.#recordReported(updateKeys.replicas + key, counter);
      return {};
    });
    this.#monitor.start();
  }

  /** Publishes the instances known from disk: fronts may try them at once, and their next heartbeats are awaited as usual. */
  async open(): Promise<void> {
    const { stateTable } = this.#options.membership;
    for (const replica of await this.#known.load()) {
      const key = keyOf(replica);
      if (stateTable.get(key) === undefined) this.#publish(key, replica, replica.state === 'silent' ? decidedTurn : 0);
    }
  }

  /**
   * Takes a replica's heartbeat. When this returns, a change is on its way to all nodes; a stale heartbeat changes nothing and may be
   * acknowledged. `cut off` tells the replica to use another controller: most others do not hear from this one, so they would declare
   * it silent. Such a controller publishes what it takes, but refuses nothing, since its configuration may be old.
   */
  announce(replica: Replica): 'taken' | 'not allowed' | 'stale' | 'cut off' {
    const { counters, configuration } = this.#options;
    // A service that is not configured yet is no fault: fronts route only to what is both configured and announced.
    const rule = configuration()?.services[replica.service];
    if (rule !== undefined && !allowsReplica(rule, replica)) {
      counters.add('replica.refused');
      return this.#isCutOff() ? 'cut off' : 'not allowed';
    }
    const key = keyOf(replica);
    const known = this.#instances.get(key) ?? this.#recall(key);
    if (known !== undefined && replica.incarnation < known.counter) {
      counters.add('replica.stale');
      return 'stale';
    }
    const changed = known === undefined || announcedFields(known.replica) !== announcedFields(replica);
    if (known === undefined) this.#instances.add(key, replica);
    else this.#instances.recordHeartbeat(known, replica.incarnation);
    if (changed) this.#publish(key, replica);
    this.#exchange.add(key, replica.incarnation);
    return this.#isCutOff() ? 'cut off' : 'taken';
  }

  /** Deregisters an instance, whichever controller received its last heartbeat; nothing serves under its name again. */
  leave(instance: string): 'taken' | 'unknown' | 'cut off' {
    const left = [...this.#instances.entries()].filter(([, { replica }]) => replica.instance === instance);
    for (const [key, { replica }] of left) this.#publish(key, { ...replica, state: 'leaving', incarnation: finalCounter });
    if (this.#isCutOff()) return 'cut off';
    return left.length > 0 ? 'taken' : 'unknown';
  }

  /** Ends the timers; what was not yet written to disk is lost. */
  close(): void {
    this.#known.close();
    this.#monitor.close();
    this.#exchange.close();
  }

  #makeMonitor(): LivenessMonitor {
    const { heartbeatMs } = this.#options;
    return new LivenessMonitor({
      ...this.#options,
      instances: this.#instances,
      contacts: this.#contacts,
      exchange: this.#exchange,
      checkPeriodMs: heartbeatMs * checkRatio,
      silentMs: this.#silentMs,
      forgetMs: heartbeatMs * forgetRatio,
      publishSilent: (key, { replica, counter }) => {
        this.#publish(key, { ...replica, state: 'silent', incarnation: counter }, decidedTurn);
      },
    });
  }

  #isCutOff(): boolean {
    const isCutOff = this.#contacts.lost;
    if (isCutOff) this.#options.counters.add('replica.heardCutOff');
    return isCutOff;
  }

  #publish(key: string, replica: Replica, turn = 0): void {
    this.#options.counters.add(`replica.${replica.state}`);
    this.#options.membership.put({ key, version: [replica.incarnation, turn], volatile: false, value: replica });
  }

  #recordReported(key: string, counter: number): void {
    const instance = this.#instances.get(key);
    if (instance !== undefined) this.#instances.recordHeartbeat(instance, counter);
  }

  #takeUpdate(update: Update): void {
    if (!update.key.startsWith(updateKeys.replicas)) return;
    const read = v.safeParse(Replica, update.value);
    if (!read.success || read.output.instance === undefined) return;
    const replica = read.output;
    this.#known.changed();
    const instance = this.#instances.get(update.key);
    if (instance === undefined) this.#instances.add(update.key, replica);
    else this.#takeChange(update.key, instance, replica);
  }

  #takeChange(key: string, instance: ReplicaInstance, replica: Replica): void {
    const before = instance.replica;
    instance.replica = replica;
    if (replica.state !== 'silent') {
      this.#instances.recordHeartbeat(instance, replica.incarnation);
      return;
    }
    if (instance.counter <= replica.incarnation) {
      instance.counter = replica.incarnation;
      return;
    }
    // A heartbeat came since: here, or at a controller that those which declared the instance silent do not hear from.
    const isHeard = this.#options.clock.nowMs() - instance.heartbeatMs <= this.#silentMs;
    if (before.state === 'serving' && isHeard) this.#publish(key, { ...replica, state: 'serving', incarnation: instance.counter });
  }

  /** The state table outlasts what is watched here: an instance that ended must not begin again because it was forgotten. */
  #recall(key: string): ReplicaInstance | undefined {
    const update = this.#options.membership.stateTable.get(key);
    if (update !== undefined) this.#takeUpdate(update);
    return this.#instances.get(key);
  }
}

function keyOf({ service, instance, address }: Replica): string {
  return updateKeys.replica(service, instance ?? address);
}

/** All that a replica announces, but for its counter. */
function announcedFields({ service, address, zone, slots, models, state }: Replica): string {
  return JSON.stringify([service, address, zone, slots, models, state]);
}
