import * as v from 'valibot';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import { quietLog, seededRandom } from '@pewterlanding/runtime';
import type { Log } from '@pewterlanding/runtime';
import type { Placement } from '@pewterlanding/controller';
import { SimulationError } from '../errors/index.js';
import { SimDisk } from '../disk/index.js';
import { SimMachine, SimTime } from '../engine/index.js';
import { Invariants } from './invariants.js';
import { linearize } from './linearize.js';
import { modelBounds } from './modelBounds.js';
import type { ModelMachine } from './modelMachine.js';
import { ModelNet } from './modelNet.js';
import { ModelNode } from './modelNode.js';
import { Operators } from './operators.js';
import { WriteTrap } from './writeTrap.js';

interface ModelClusterOptions {
  readonly seed: number;
  /** How many copies may be lost at once: one of three, or two of five. */
  readonly tolerance: 1 | 2;
  readonly trace?: ((line: string) => void) | undefined;
}

const zones = ['a', 'b', 'c'];
const { failureTimeoutMs, checkMs, recoveryTimeouts } = modelBounds;

/** A group of members on machines, network and disks of the simulator, with operators who order through it. */
export class ModelCluster {
  readonly time = new SimTime();
  readonly random: () => number;
  readonly net: ModelNet;
  readonly invariants = new Invariants();
  readonly operators = new Operators();
  readonly tolerance: 1 | 2;
  readonly #machines: ModelMachine[] = [];
  readonly #trace: ((line: string) => void) | undefined;
  readonly #seeds: readonly Address[];
  /** Commands that were run. */
  steps = 0;
  /** How long the group took to be whole after the last fault. */
  recoveryMs = 0;
  #wanted: readonly NodeName[];
  #bootstrap = true;
  #minted = 0;

  constructor({ seed, tolerance, trace }: ModelClusterOptions) {
    this.random = seededRandom(seed);
    this.net = new ModelNet(this.time, this.random);
    this.tolerance = tolerance;
    this.#trace = trace;
    for (let number = 1; number <= tolerance * 2 + 1; number += 1) this.addMachine();
    this.#seeds = this.#machines.map(({ address }) => address);
    this.#wanted = this.#machines.map(({ name }) => name);
  }

  /** The machines that were not replaced, in the order they came. */
  get machines(): readonly ModelMachine[] {
    return this.#machines.filter(({ retired }) => !retired);
  }

  /** The machines that shall hold copies. */
  get wanted(): readonly NodeName[] {
    return this.#wanted;
  }

  addMachine(): ModelMachine {
    const number = this.#machines.length + 1;
    const machine = new SimMachine(
      `core-${number}`,
      zones[number % zones.length] ?? 'a',
      Math.floor((this.random() - 0.5) * 200),
      this.time,
    );
    const added: ModelMachine = {
      name: v.parse(NodeName, machine.name),
      address: v.parse(Address, `127.0.20.${number}:7000`),
      machine,
      disk: new SimDisk(this.time, this.random),
      trap: new WriteTrap(this.time, machine, () => this.kill(added)),
      node: undefined,
      retired: false,
      leaving: false,
      replaced: false,
      group: [],
      memberId: undefined,
    };
    this.#machines.push(added);
    return added;
  }

  /** From empty disks to a group that serves. */
  async begin(): Promise<void> {
    for (const machine of this.#machines) this.start(machine);
    await this.pass(failureTimeoutMs * 2);
    this.#bootstrap = false;
    await this.#until(() => this.#whole());
    if (!this.#whole()) this.invariants.complain('no group came of empty disks');
  }

  /** Starts a process; whoever is reachable learns that it began anew, perhaps without its disk. */
  start(machine: ModelMachine): void {
    if (machine.node !== undefined || machine.retired) return;
    this.note(`${machine.name} starts`);
    machine.node = new ModelNode({
      ...machine,
      time: this.time,
      net: this.net,
      log: this.#log(machine.name),
      seeds: this.#seeds,
      everywhere: () => this.machines.map(({ address }) => address),
      bootstrap: this.#bootstrap,
      mintMemberId: () => this.#mint(),
      nextPlacement: (now) => this.#nextPlacement(now),
      fatal: () => this.kill(machine),
      led: (term, memberId) => this.invariants.led(term, memberId),
    });
    for (const other of this.#machines)
      if (other !== machine && this.net.passes(machine.machine.name, other.machine.name)) other.node?.meet(machine.address);
  }

  /** The process ends at once; what it was writing may be torn, lost or kept. */
  kill(machine: ModelMachine): void {
    if (machine.node === undefined) return;
    this.note(`${machine.name} ends`);
    this.look();
    machine.trap.disarm();
    machine.node.end();
    machine.node = undefined;
    machine.leaving = false;
    // A new process begins awake.
    machine.machine.wake();
  }

  /** The process hands over what it leads, and ends. */
  leave(machine: ModelMachine, ended: () => void): void {
    const { node } = machine;
    machine.leaving = true;
    void node?.leave().then(() => {
      if (machine.node !== node) return;
      this.kill(machine);
      ended();
    });
  }

  /** Another machine takes the place of one, at another address. The old one runs until nothing is left to hand over, if it runs. */
  replace(machine: ModelMachine): void {
    const added = this.addMachine();
    this.start(added);
    this.#wanted = this.#wanted.map((name) => (name === machine.name ? added.name : name));
    this.note(`${machine.name} is replaced by ${added.name}`);
  }

  /**
   * Whether a copy may be lost now and what is promised still hold: of every group that the log of one of its members names, written
   * down everywhere or not, a majority of the voters stays, and as many as the tolerance leaves of a full group.
   */
  maySpare(machine: ModelMachine): boolean {
    const members = this.invariants.group ?? this.#machines[0]?.group ?? [];
    const ids = members.map(({ identity }) => identity.memberId);
    const logged = this.#machines.filter(({ memberId }) => memberId !== undefined && ids.includes(memberId)).map(({ group }) => group);
    return [members, ...logged].every((group) => {
      const voters = group.flatMap(({ identity, isVoter }) => (isVoter ? [identity] : []));
      const intact = voters.filter(({ name, memberId }) => name !== machine.name && this.#holds(name, memberId)).length;
      return intact > this.tolerance && intact > voters.length / 2;
    });
  }

  /** The disk is gone with all that was on it, and so is the process. */
  loseDisk(machine: ModelMachine): void {
    this.kill(machine);
    machine.disk.lose();
    machine.memberId = undefined;
    this.note(`${machine.name} has an empty disk`);
  }

  /** A byte before the tail of the shard's file turns; nothing in it can be trusted any more. */
  damageDisk(machine: ModelMachine): void {
    this.kill(machine);
    if (machine.disk.damage('setup.shard')) machine.memberId = undefined;
    this.note(`${machine.name} has a damaged file`);
  }

  /** Lets time go by, looking at the invariants all the while. */
  async pass(waitMs: number): Promise<void> {
    const untilMs = this.time.nowMs + waitMs;
    while (this.time.nowMs < untilMs) {
      await this.time.runTo(Math.min(untilMs, this.time.nowMs + checkMs));
      this.look();
    }
  }

  look(): void {
    for (const machine of this.#machines) {
      this.#retireLeft(machine);
      const { node } = machine;
      if (node === undefined) continue;
      this.invariants.look(node);
      if (node.member === undefined) continue;
      machine.memberId = node.member.self.memberId;
      machine.group = node.member.group();
    }
    if (this.invariants.violations.length > 0) throw new SimulationError(this.invariants.violations.join('\n'));
  }

  /** A replaced machine is switched off a while after it left the group. */
  #retireLeft(machine: ModelMachine): void {
    const members = this.invariants.group?.map(({ identity }) => identity.name) ?? this.#wanted;
    if (machine.retired || machine.replaced || members.includes(machine.name) || this.#wanted.includes(machine.name)) return;
    machine.replaced = true;
    this.time.after(failureTimeoutMs * 2, () => {
      this.kill(machine);
      machine.retired = true;
    });
  }

  /** Ends all faults; then the group must be whole within its bound, hold all that was committed, and answer as one register. */
  async finish(): Promise<void> {
    this.net.heal();
    for (const machine of this.#machines) {
      machine.trap.disarm();
      machine.disk.syncMs = 1;
      machine.machine.wake();
      if (machine.leaving) this.kill(machine);
      this.start(machine);
    }
    const sinceMs = this.time.nowMs;
    await this.#until(() => this.#whole());
    this.recoveryMs = this.time.nowMs - sinceMs;
    if (!this.#whole()) this.invariants.complain(`not whole ${this.recoveryMs} ms after the last fault: ${this.#describe()}`);
    await this.#readAll();
    const { linearizable, placed } = linearize(this.operators.history);
    if (!linearizable) {
      const history = this.operators.history.map((operation) => JSON.stringify(operation)).join('\n  ');
      this.invariants.complain(`the operators' history fits no order of one register; ${placed} operations fit of\n  ${history}`);
    }
    this.look();
  }

  close(): void {
    for (const { node } of this.#machines) node?.end();
  }

  note(what: string): void {
    this.#trace?.(`${(this.time.nowMs / 1000).toFixed(3)} ${what}`);
  }

  /** Everybody is asked for what is in force, which puts the last orders in their place too. */
  async #readAll(): Promise<void> {
    for (const { node } of this.machines) {
      if (node === undefined) continue;
      const answering = this.operators.ask(node, { kind: 'read' });
      let answered = false;
      void answering.then((answer) => (answered = answer !== undefined));
      await this.#until(() => answered);
      if (!answered) this.invariants.complain('a read brought no answer though nothing fails');
    }
  }

  async #until(done: () => boolean): Promise<void> {
    const endMs = this.time.nowMs + failureTimeoutMs * recoveryTimeouts;
    while (!done() && this.time.nowMs < endMs) await this.pass(checkMs);
  }

  /** A leader serves, its group is the wanted one with all votes, and each member has all that it has. */
  #whole(): boolean {
    const leader = this.#machines.map(({ node }) => node?.member).find((member) => member?.isLeader === true);
    if (leader === undefined || leader.committed < this.invariants.highest) return false;
    const group = leader.group();
    const members = this.#machines.flatMap(({ node }) => node?.member ?? []);
    return (
      group.length === this.#wanted.length &&
      group.every(
        ({ identity, isVoter }) =>
          isVoter &&
          this.#wanted.includes(identity.name) &&
          members.some((member) => member.self.memberId === identity.memberId && member.committed === leader.committed),
      )
    );
  }

  #describe(): string {
    return this.#machines
      .map(({ name, node }) => {
        const member = node?.member;
        if (member === undefined) return `${name} none`;
        const group = member.group().map(({ identity, isVoter }) => `${identity.memberId}${isVoter ? '' : ' (learner)'}`);
        const role = member.isLeader ? ' leads' : '';
        return `${name} ${member.self.memberId} term ${member.term}${role} at ${member.committed} of ${group.join(' ')}`;
      })
      .join('; ');
  }

  #holds(name: NodeName, memberId: string): boolean {
    return this.#machines.some((machine) => machine.name === name && machine.memberId === memberId);
  }

  #nextPlacement(now: Placement): Placement | undefined {
    const same = JSON.stringify(now.shards['setup']) === JSON.stringify(this.#wanted);
    if (same) return undefined;
    const named = this.#machines.map(({ name, address, machine }) => [
      name,
      { role: 'controller' as const, address, zone: v.parse(ZoneName, machine.zone) },
    ]);
    return { version: now.version + 1, machines: Object.fromEntries(named), shards: { setup: [...this.#wanted] }, emptying: [] };
  }

  #mint(): string {
    this.#minted += 1;
    return `m${this.#minted}`;
  }

  #log(name: string): Log {
    if (this.#trace === undefined) return quietLog;
    const print = (line: string): void => this.note(`${name} ${line}`);
    return { info: print, warn: print, error: print };
  }
}
