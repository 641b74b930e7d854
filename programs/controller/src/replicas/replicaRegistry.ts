import * as v from 'valibot';
import { allowsReplica, updateKeys, Replica } from '@pewterlanding/agent';
import type { Membership, Update } from '@pewterlanding/membership';
import { every } from '@pewterlanding/runtime';
import type { Configuration } from '@pewterlanding/model';
import type { Clock, Counters, Disk, Transport } from '@pewterlanding/runtime';
import { ControllerContacts } from './controllerContacts.js';
import { controllerCalls } from '../controllerCalls.js';
import { KnownInstances } from './knownInstances.js';

interface ReplicaRegistryOptions {
  readonly membership: Membership;
  readonly transport: Transport;
  readonly disk: Disk;
  readonly clock: Clock;
  readonly counters: Counters;
  /** How often a replica says a word. */
  readonly heartbeatMs: number;
  /** So many beats without a word, and a life is taken to be gone. */
  readonly silentRatio?: number;
  readonly configuration: () => Configuration | undefined;
}

interface Instance {
  /** As it last stood on the board, or was announced here. */
  replica: Replica;
  /** The highest counter that any controller is known to have heard. */
  counter: number;
  heardMs: number;
}

const silentHeartbeats = 3.2;
/** Changes are gathered for the disk so many beats. */
const keepRatio = 1;
/** Ratios to the heartbeat: controllers share what they heard once, say so when it was nothing, and forget an ended life after the last. */
const togetherRatio = 0.2;
const signRatio = 0.8;
const forgetRatio = 60;
/** A controller of which two words in turn are missing is out of contact: sooner than a life is called silent. */
const contactRatio = signRatio * 2;
/** It names those as heard whose last word is not overdue by half. */
const speakingRatio = signRatio * 1.5;
/** Of two looks one this late says that this process stood still. */
const lateRatio = 3;
/** A replica that took its leave has no words after that one. */
const lastCounter = Number.MAX_SAFE_INTEGER;

/**
 * Replicas' words, taken at any controller. Only what changed goes to all; that a life was heard goes to the other controllers
 * alone. A life is called silent when more than half of the controllers, this one among them, spoke after its time had run out
 * and none had heard it: a controller that is cut off hears no others and keeps quiet. What the disk keeps only shortens the
 * first moments after all controllers were off.
 */
export class ReplicaRegistry {
  readonly #options: ReplicaRegistryOptions;
  readonly #silentMs: number;
  readonly #instances = new Map<string, Instance>();
  readonly #untold = new Map<string, number>();
  readonly #contacts: ControllerContacts;
  readonly #kept: KnownInstances;
  readonly #stop: () => void;
  #cancelTell: (() => void) | undefined;
  #toldMs = 0;
  #lookedMs: number;

  constructor(options: ReplicaRegistryOptions) {
    this.#options = options;
    const { membership, transport, clock, heartbeatMs } = options;
    this.#kept = new KnownInstances({
      ...options,
      gatherMs: heartbeatMs * keepRatio,
      instances: () => [...this.#instances.values()].map(({ replica }) => replica),
    });
    this.#silentMs = heartbeatMs * (options.silentRatio ?? silentHeartbeats);
    this.#lookedMs = clock.nowMs();
    membership.onUpdate((update) => this.#takeUpdate(update));
    this.#contacts = new ControllerContacts({
      membership,
      clock,
      lastingMs: heartbeatMs * contactRatio,
      speakingMs: heartbeatMs * speakingRatio,
    });
    transport.serve(controllerCalls.heard, async ({ from, instances, hears }) => {
      this.#contacts.heard(from, hears);
      for (const [key, counter] of instances) this.#hear(this.#instances.get(updateKeys.replicas + key), counter);
      return {};
    });
    this.#stop = every(clock, heartbeatMs * signRatio, () => this.#look());
  }

  /** Puts back on the board what was known here before: fronts may try it at once, and its next words are awaited as usual. */
  async open(): Promise<void> {
    for (const replica of await this.#kept.recall()) {
      const key = updateKeys.replica(replica.service, replica.instance ?? replica.address);
      if (this.#options.membership.stateTable.get(key) === undefined) this.#put(key, replica, replica.state === 'silent' ? 1 : 0);
    }
  }

  /**
   * Takes a replica's word. It is on its way to all when this returns; a stale one changes nothing and may be acknowledged. What a
   * controller takes that most others do not hear (`cut off`) goes as far as it can, but the replica shall speak to another one:
   * the others would call it silent. Nor does such a controller refuse, for its setup may be old.
   */
  announce(replica: Replica): 'taken' | 'not allowed' | 'stale' | 'cut off' {
    const { counters, clock, configuration } = this.#options;
    // A service that no setup knows yet is no fault: fronts route only to what is in both.
    const rule = configuration()?.services[replica.service];
    if (rule !== undefined && !allowsReplica(rule, replica)) {
      counters.add('replica.refused');
      return this.#cutOff() ? 'cut off' : 'not allowed';
    }
    const key = updateKeys.replica(replica.service, replica.instance ?? replica.address);
    const known = this.#instances.get(key) ?? this.#recalled(key);
    if (known !== undefined && replica.incarnation < known.counter) {
      counters.add('replica.stale');
      return 'stale';
    }
    const update = known === undefined || wordOf(known.replica) !== wordOf(replica);
    if (known === undefined) this.#instances.set(key, { replica, counter: replica.incarnation, heardMs: clock.nowMs() });
    else this.#hear(known, replica.incarnation);
    if (update) this.#put(key, replica);
    this.#tellSoon(key, replica.incarnation);
    return this.#cutOff() ? 'cut off' : 'taken';
  }

  /** A life takes its leave, whoever heard it last; nothing under its name serves again. */
  leave(instance: string): 'taken' | 'unknown' | 'cut off' {
    const left = [...this.#instances].filter(([, { replica }]) => replica.instance === instance);
    for (const [key, { replica }] of left) this.#put(key, { ...replica, state: 'leaving', incarnation: lastCounter });
    if (this.#cutOff()) return 'cut off';
    return left.length > 0 ? 'taken' : 'unknown';
  }

  close(): void {
    this.#kept.close();
    this.#stop();
    this.#cancelTell?.();
  }

  #cutOff(): boolean {
    const cutOff = this.#contacts.lost;
    if (cutOff) this.#options.counters.add('replica.heardCutOff');
    return cutOff;
  }

  #put(key: string, replica: Replica, turn = 0): void {
    this.#options.counters.add(`replica.${replica.state}`);
    this.#options.membership.put({ key, version: [replica.incarnation, turn], volatile: false, value: replica });
  }

  #takeUpdate(update: Update): void {
    if (!update.key.startsWith(updateKeys.replicas)) return;
    const read = v.safeParse(Replica, update.value);
    if (!read.success || read.output.instance === undefined) return;
    const replica = read.output;
    const now = this.#options.clock.nowMs();
    this.#kept.changed();
    const known = this.#instances.get(update.key);
    if (known === undefined) {
      // Heard of for the first time: it gets a whole silence before it is judged here.
      this.#instances.set(update.key, { replica, counter: replica.incarnation, heardMs: now });
      return;
    }
    const before = known.replica;
    known.replica = replica;
    if (replica.state !== 'silent') this.#hear(known, replica.incarnation);
    else if (known.counter <= replica.incarnation) known.counter = replica.incarnation;
    // It was heard since, here or by a controller that those who call it silent do not hear.
    else if (before.state === 'serving' && now - known.heardMs <= this.#silentMs)
      this.#put(update.key, { ...replica, state: 'serving', incarnation: known.counter });
  }

  /** What was forgotten here still stands on the board: an ended life must not begin anew for that. */
  #recalled(key: string): Instance | undefined {
    const update = this.#options.membership.stateTable.get(key);
    if (update !== undefined) this.#takeUpdate(update);
    return this.#instances.get(key);
  }

  #hear(instance: Instance | undefined, counter: number): void {
    if (instance === undefined || counter < instance.counter) return;
    // The same word told twice is no new hearing.
    if (counter > instance.counter) instance.heardMs = this.#options.clock.nowMs();
    instance.counter = counter;
  }

  #tellSoon(key: string, counter: number): void {
    this.#untold.set(key.slice(updateKeys.replicas.length), counter);
    this.#cancelTell ??= this.#options.clock.after(this.#options.heartbeatMs * togetherRatio, () => this.#tell());
  }

  #tell(): void {
    const { membership, transport, clock } = this.#options;
    this.#cancelTell?.();
    this.#cancelTell = undefined;
    this.#toldMs = clock.nowMs();
    const instances = [...this.#untold];
    this.#untold.clear();
    for (const nodeRecord of membership.live())
      if (nodeRecord.role === 'controller' && nodeRecord.name !== membership.name)
        transport.tell(nodeRecord.address, controllerCalls.heard, { from: membership.name, instances, hears: this.#contacts.speaking() });
  }

  #look(): void {
    const { clock, heartbeatMs, counters } = this.#options;
    const now = clock.nowMs();
    const stoodStill = now - this.#lookedMs > heartbeatMs * signRatio * lateRatio;
    this.#lookedMs = now;
    // Those that watch no life do not speak, and who stood still has words waiting: silence then says nothing.
    if (this.#instances.size === 0 || stoodStill) this.#contacts.forget();
    if (this.#instances.size === 0) return;
    this.#contacts.look();
    if (now - this.#toldMs >= heartbeatMs * signRatio) this.#tell();
    for (const [key, instance] of this.#instances) {
      // Whoever stood still has words waiting that it has not read yet.
      if (stoodStill) instance.heardMs = now;
      const { state } = instance.replica;
      if (state !== 'serving') {
        // The board goes on knowing it; what is watched must not grow with every life there ever was.
        if (now - instance.heardMs > heartbeatMs * forgetRatio) this.#instances.delete(key);
      } else if (now - instance.heardMs > this.#silentMs && this.#contacts.maxSpokeSince(instance.heardMs + this.#silentMs)) {
        counters.add('replica.wentSilent');
        this.#put(key, { ...instance.replica, state: 'silent', incarnation: instance.counter }, 1);
      }
    }
  }
}

/** All that a replica says, but for its counter. */
function wordOf({ service, address, zone, slots, models, state }: Replica): string {
  return JSON.stringify([service, address, zone, slots, models, state]);
}
