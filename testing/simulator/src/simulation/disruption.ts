import type { CutMode } from '../network/index.js';
import type { ReplicaFault } from './replicaFault.js';
import type { SimReplica } from './simReplica.js';
import type { SimEnvironment } from './simEnvironment.js';
import type { SimOperators } from './simOperators.js';

/** No change takes longer than an operator's word may, twice: to plan and to confirm. */
const maxChangeMs = 30_000;
const maxAttempts = 10;
const betweenAttemptsMs = 500;
const cutModes: readonly CutMode[] = ['silent', 'refused', 'reset'];

/** What faults are made of. Each act ends by itself after the time that it is given. */
export class Disruption {
  readonly environment: SimEnvironment;
  readonly operators: SimOperators;
  /** How long a machine counts as lost after its return: the deployments' bound, as a ratio to the silence of simulated fleets. */
  readonly catchUpMs = 4100;

  constructor(environment: SimEnvironment, operators: SimOperators) {
    this.environment = environment;
    this.operators = operators;
  }

  randomSpan(fromMs: number, toMs: number): number {
    return fromMs + this.environment.fleet.random() * (toMs - fromMs);
  }

  chance(ratio: number): boolean {
    return this.environment.fleet.random() < ratio;
  }

  /** A part of some things, at least one. */
  randomSubset<T>(all: readonly T[], ratio: number): readonly T[] {
    const chosen = all.filter(() => this.chance(ratio));
    return chosen.length > 0 || all.length === 0 ? chosen : [this.environment.pickRandom(all)];
  }

  /** The machines that hold copies. */
  stateMachineHosts(): readonly string[] {
    return [...this.environment.machines('controller'), ...this.environment.machines('store')];
  }

  machines(): readonly string[] {
    return [...this.environment.fleet.hosts.keys()];
  }

  /** The replicas that serve now. */
  servingReplicas(): readonly SimReplica[] {
    return [...this.environment.fleet.replicas.values()].filter((replica) => !replica.instance.dead);
  }

  replicasOf(service: string): readonly SimReplica[] {
    return [...this.environment.fleet.replicas.values()].filter((replica) => service in replica.services);
  }

  /** A replica ends in the middle of what it does, and is back a moment later. */
  abortReplica(replica: SimReplica, backMs: number): void {
    if (replica.instance.dead) return;
    replica.instance.end();
    this.scheduleReplicaStart(replica, backMs);
  }

  /** Cuts a machine off from all others but those named, until the network heals. */
  isolateExceptFrom(name: string, but: readonly string[] = []): void {
    const { net } = this.environment.fleet;
    for (const other of this.machines()) {
      if (other === name || but.includes(other)) continue;
      net.cut(name, other);
      net.cut(other, name);
    }
  }

  randomCutMode(): CutMode {
    return this.environment.pickRandom(cutModes);
  }

  /** Counts machines that hold copies as lost for a while and until they have caught up; false where that is too many. */
  reserveLoss(names: readonly string[], forMs: number): boolean {
    return this.environment.losses.lose(names, forMs + this.catchUpMs);
  }

  /** True when all machines that hold copies may go at once, their disks staying: none is lost or has yet to catch up. */
  reserveLossOfAll(forMs: number): boolean {
    // Until then nothing else that counts is added to it.
    return this.environment.losses.loseAll(this.stateMachineHosts(), forMs + this.catchUpMs);
  }

  /** What strikes later finds only what is still there. */
  #present(name: string): boolean {
    return this.environment.fleet.hosts.has(name);
  }

  kill(name: string, backMs: number): void {
    if (!this.#present(name)) return;
    this.environment.fleet.kill(name);
    this.environment.scheduleRestart(name, backMs);
  }

  powerOff(name: string, backMs: number): void {
    if (!this.#present(name)) return;
    this.environment.fleet.powerOff(name);
    this.environment.scheduleRestart(name, backMs);
  }

  /** The machine comes back with an empty disk. */
  wipe(name: string, backMs: number): void {
    if (!this.#present(name)) return;
    this.environment.fleet.powerOff(name);
    this.environment.fleet.host(name).disk.lose();
    this.environment.scheduleRestart(name, backMs);
  }

  freeze(name: string, forMs: number): void {
    const { machine } = this.environment.fleet.host(name);
    machine.freeze();
    this.environment.schedule(forMs, () => machine.wake());
  }

  slowDown(name: string, ratio: number, forMs: number): void {
    const { machine } = this.environment.fleet.host(name);
    machine.slowRatio = ratio;
    this.environment.schedule(forMs, () => {
      machine.slowRatio = 1;
    });
  }

  /** Cuts some machines from others, both ways unless one is named. */
  partition(
    names: readonly string[],
    others: readonly string[],
    forMs: number,
    mode: CutMode = 'silent',
    way: 'both' | 'in' | 'out' = 'both',
  ): void {
    const { net } = this.environment.fleet;
    const mends: (() => void)[] = [];
    for (const name of names) {
      for (const other of others) {
        if (names.includes(other)) continue;
        if (way !== 'out') mends.push(net.cut(other, name, mode));
        if (way !== 'in') mends.push(net.cut(name, other, mode));
      }
    }
    this.environment.schedule(forMs, () => mends.forEach((mend) => mend()));
  }

  /** Cuts a machine that holds copies from everybody, if that may be. */
  isolate(name: string): boolean {
    const forMs = this.randomSpan(1000, 9000);
    if (!this.reserveLoss([name], forMs)) return false;
    this.partition([name], this.machines(), forMs, this.randomCutMode());
    return true;
  }

  /** The fleet knows of the end of this instance after a while. */
  scheduleReplicaEnd(replica: SimReplica, afterMs: number): void {
    const { instance } = replica;
    this.environment.schedule(afterMs, () => {
      if (replica.instance === instance)
        this.environment.fleet.note({ type: 'replicaEnds', atMs: this.environment.fleet.time.nowMs, replica: replica.address });
    });
  }

  scheduleReplicaStart(replica: SimReplica, afterMs: number): void {
    this.environment.schedule(afterMs, () => {
      if (replica.instance.dead) this.environment.fleet.startReplica(replica, () => this.environment.traffic.front().proxy);
    });
  }

  /** It crashes, and its silence is what tells. */
  crashReplica(replica: SimReplica, backMs: number): void {
    replica.instance.end();
    this.scheduleReplicaEnd(replica, 6000);
    this.scheduleReplicaStart(replica, backMs);
  }

  /** A replica says that it leaves; from the taking of its word on, nothing may reach it for long. It ends after `noticeMs`. */
  drainReplica(replica: SimReplica, noticeMs: number, backMs: number): void {
    const { proxy } = this.environment.traffic.front();
    replica.announcing = false;
    if (!this.environment.fleet.announce(replica, replica.incarnation, 'leaving', proxy)) {
      replica.announcing = true;
      return;
    }
    const { instance } = replica;
    this.scheduleReplicaEnd(replica, 0);
    this.environment.schedule(noticeMs, () => instance.end());
    this.scheduleReplicaStart(replica, backMs);
  }

  /** Something is wrong with a replica for a while. */
  injectReplicaFault(replica: SimReplica, trouble: ReplicaFault, forMs: number): void {
    replica.fault = trouble;
    this.environment.schedule(forMs, () => {
      if (replica.fault === trouble) replica.fault = undefined;
    });
  }

  /** A replica says for a while that it has so many times the room that it has. */
  overstateCapacity(replica: SimReplica, ratio: number, forMs: number): void {
    replica.claimRatio = ratio;
    this.environment.schedule(forMs, () => {
      replica.claimRatio = 1;
    });
  }

  /** Two replicas that serve different services. */
  replicasOfTwoServices(): readonly SimReplica[] {
    const one = this.environment.pickRandom(this.servingReplicas());
    const others = this.servingReplicas().filter(({ services }) => services !== one.services);
    return others.length === 0 ? [] : [one, this.environment.pickRandom(others)];
  }

  /** One more replica like another, at an address of its own, if there is one left. */
  addReplica(like: SimReplica): void {
    const replica = this.environment.addReplica(like);
    if (replica !== undefined) this.environment.fleet.startReplica(replica, () => this.environment.traffic.front().proxy);
  }

  /** The date of some machines jumps, and back after a while. */
  stepClocks(share: number, stepMs: number, forMs: number): void {
    const machines = this.randomSubset([...this.environment.fleet.hosts.values()], share).map(({ machine }) => machine);
    for (const machine of machines) machine.steppedMs += stepMs;
    this.environment.schedule(forMs, () => {
      for (const machine of machines) machine.steppedMs -= stepMs;
    });
  }

  /** From now on the settings name three controllers that are there, in an order drawn anew. */
  shuffleSeeds(): void {
    const { fleet } = this.environment;
    const drawn = fleet.named('controller').map(({ address }) => ({ address, order: fleet.random() }));
    fleet.seeds = drawn
      .sort((a, b) => a.order - b.order)
      .slice(0, 3)
      .map(({ address }) => address);
  }

  /** Puts a change in force for a while. It is taken back only once it is known what became of it, and until that is confirmed. */
  async changeTemporarily(part: Record<string, unknown>, back: Record<string, unknown>, forMs: number): Promise<void> {
    await this.#outcomeOf(part);
    await this.#wait(forMs);
    for (let attempts = 0; attempts < maxAttempts && (await this.#outcomeOf(back)) !== 'confirmed'; attempts += 1)
      await this.#wait(betweenAttemptsMs);
  }

  /** What became of a change; whoever was asked may be gone before saying so. */
  #outcomeOf(part: Record<string, unknown>): Promise<string> {
    return Promise.race([this.environment.changeConfiguration({ part }), this.#wait(maxChangeMs).then(() => 'unknown')]);
  }

  #wait(waitMs: number): Promise<void> {
    return new Promise((resolve) => this.environment.schedule(waitMs, resolve));
  }
}
