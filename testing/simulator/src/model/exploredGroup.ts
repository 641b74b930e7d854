import { createHash } from 'node:crypto';
import * as v from 'valibot';
import type { GroupMember } from '@pewterlanding/consensus';
import type { ConfigurationChange } from '@pewterlanding/controller';
import { Address, NodeName } from '@pewterlanding/model';
import { SimulationError } from '../errors/index.js';
import { SimDisk } from '../disk/index.js';
import { SimTime } from '../engine/index.js';
import { changeOf } from './changeOf.js';
import type { ExplorationScope } from './explorationScope.js';
import type { ExploredAction } from './exploredAction.js';
import { ExploredProcess } from './exploredProcess.js';
import { ManualNet } from './manualNet.js';
import { ManualTime } from './manualTime.js';
import { Invariants } from './invariants.js';
import { modelBounds } from './modelBounds.js';

interface Machine {
  readonly name: NodeName;
  readonly address: Address;
  readonly syncs: ManualTime;
  readonly disk: SimDisk;
  process: ExploredProcess;
  /** All that happened here, in its order: what the machine holds and has sent follows from it alone. */
  past: string;
}

const numbers = [1, 2, 3];
const { failureTimeoutMs, recoveryTimeouts } = modelBounds;
/** Far more than any election and repair of three members takes; a group that is still busy after it goes round in circles. */
const maxSettlingSteps = 20_000;

/** Three members whose every delivery and sync is chosen from outside. The same choices bring the same states. */
export class ExploredGroup {
  readonly invariants = new Invariants();
  readonly #scope: ExplorationScope;
  readonly #time = new SimTime();
  readonly #net = new ManualNet();
  readonly #machines: readonly Machine[];
  /** Changes whose operator was told that they were taken. */
  readonly #confirmed: ConfigurationChange[] = [];
  #ordered = 0;
  #stood = 0;
  #changed = false;
  #lost = false;
  #minted = 0;
  #settling = false;

  constructor(scope: ExplorationScope) {
    this.#scope = scope;
    this.#machines = numbers.map((number) => {
      const name = v.parse(NodeName, `core-${number}`);
      const address = v.parse(Address, `127.0.20.${number}:7000`);
      const syncs = new ManualTime();
      // What was not synced is lost whole.
      const disk = new SimDisk(syncs, () => 0);
      return { name, address, syncs, disk, process: this.#begin(name, address, disk), past: '' };
    });
  }

  /** From empty disks to a leader that serves and a group at rest. */
  async begin(): Promise<void> {
    const naming = Promise.all(this.#machines.map(({ process }) => process.host.identity('setup')));
    await this.#rest();
    const group: GroupMember[] = (await naming).map((identity) => ({ identity, isVoter: true }));
    for (const { process } of this.#machines) void process.open(group);
    await this.#rest();
    if (!this.#machines.some(({ process }) => process.member?.isLeader === true)) this.invariants.complain('nobody leads at the beginning');
    for (const machine of this.#machines) machine.past = '';
  }

  /** What may happen now, in an order that is always the same. */
  actions(): readonly ExploredAction[] {
    const { orders, stands, loss, mayLose, mayStand, demoted } = this.#scope;
    const serving = numbers.filter((machine) => this.#at(machine).process.member?.isLeader === true);
    const standing = mayStand.filter((machine) => !serving.includes(machine) && this.#at(machine).process.member !== undefined);
    return [
      ...this.#net.channels().map((channel) => ({ kind: 'deliver' as const, channel })),
      ...numbers.filter((machine) => this.#at(machine).syncs.waiting > 0).map((machine) => ({ kind: 'sync' as const, machine })),
      ...(this.#ordered < orders ? serving : []).map((machine) => ({ kind: 'order' as const, machine })),
      ...(this.#changed || demoted === undefined ? [] : serving).map((machine) => ({ kind: 'change' as const, machine })),
      ...(this.#stood < stands ? standing : []).map((machine) => ({ kind: 'stand' as const, machine })),
      ...(this.#lost || loss === 'none' ? [] : mayLose).map((machine) => ({ kind: 'lose' as const, machine })),
    ];
  }

  /** The state that an action leads to, as a print that is equal only where every machine lived through the same in the same order. */
  printAfter(action: ExploredAction): string {
    const { at, what } = this.#input(action);
    const pasts = this.#machines.map((machine) => (machine === at ? `${machine.past}>${what}` : machine.past));
    return print(pasts.map((past) => print(past)).join());
  }

  async take(action: ExploredAction): Promise<void> {
    const { at, what } = this.#input(action);
    at.past = print(`${at.past}>${what}`);
    this.#act(action, at);
    await this.#drained();
  }

  /** Lets everything happen in its order and time go by, until the group serves again. What was confirmed must be in force then. */
  async settle(): Promise<void> {
    this.#settling = true;
    for (let waitedMs = 0; waitedMs < failureTimeoutMs * recoveryTimeouts && !this.#serves(); waitedMs += failureTimeoutMs / 20) {
      await this.#rest();
      await this.#time.runTo(this.#time.nowMs + failureTimeoutMs / 20);
      await this.#drained();
    }
    if (!this.#serves()) this.invariants.complain('nobody serves all that was committed, though nothing fails any more');
    for (const { process } of this.#machines)
      if (process.member?.isLeader === true)
        for (const change of this.#confirmed)
          if (process.machine.judge(change).outcome.outcome !== 'taken' || process.machine.judge(change).next !== undefined)
            this.invariants.complain(`${process.member.self.name} leads without change ${change.revision}, which was confirmed`);
  }

  close(): void {
    for (const { process } of this.#machines) process.end();
  }

  #begin(name: NodeName, address: Address, disk: SimDisk): ExploredProcess {
    return new ExploredProcess({
      name,
      address,
      time: this.#time,
      net: this.#net,
      openDisk: (instance) => disk.open(instance),
      mintMemberId: () => this.#mint(),
      led: (term, memberId) => this.invariants.led(term, memberId),
      wanted: () => (this.#scope.loss === 'disk' || this.#settling ? this.#machines : undefined),
    });
  }

  #mint(): string {
    this.#minted += 1;
    return `m${this.#minted}`;
  }

  #at(number: number): Machine {
    const machine = this.#machines[number - 1];
    if (machine === undefined) throw new SimulationError(`no machine ${number}`);
    return machine;
  }

  #input(action: ExploredAction): { readonly at: Machine; readonly what: string } {
    if (action.kind !== 'deliver') return { at: this.#at(action.machine), what: action.kind };
    const next = this.#net.next(action.channel);
    const at = this.#machines.find(({ address }) => address === next?.at);
    if (next === undefined || at === undefined) throw new SimulationError(`nothing to deliver on ${action.channel}`);
    return { at, what: `${action.channel} ${next.print}` };
  }

  #act(action: ExploredAction, at: Machine): void {
    switch (action.kind) {
      case 'deliver':
        this.#net.deliver(action.channel);
        return;
      case 'sync':
        at.syncs.runNext();
        return;
      case 'order':
        this.#order(at);
        return;
      case 'change':
        this.#change(at);
        return;
      case 'stand':
        this.#stand(at);
        return;
      case 'lose':
        this.#lose(at);
        return;
    }
  }

  #order({ process }: Machine): void {
    this.#ordered += 1;
    const revision = this.#ordered;
    const change = changeOf({ kind: 'replace', basedOn: revision - 1, revision, token: `t${revision}`, valid: true });
    process.member
      ?.propose(`set/${revision}`, { kind: 'set', change, atMs: 0 })
      .then((response) => {
        if (response.change?.outcome === 'taken') this.#confirmed.push(change);
      })
      .catch(() => undefined);
  }

  #change({ process }: Machine): void {
    this.#changed = true;
    const { member } = process;
    const name = this.#at(this.#scope.demoted ?? 1).name;
    const group = (member?.group() ?? []).map((one) => (one.identity.name === name ? { ...one, isVoter: false } : one));
    member?.changeGroup(group).catch(() => undefined);
  }

  #stand({ process }: Machine): void {
    this.#stood += 1;
    const { member } = process;
    if (member === undefined) return;
    const { memberId, name } = member.self;
    void member.transfer({ shard: 'setup', memberId, from: name, term: member.term });
  }

  #lose(machine: Machine): void {
    this.#lost = true;
    machine.process.end();
    machine.syncs.clear();
    if (this.#scope.loss === 'disk') machine.disk.lose();
    machine.process = this.#begin(machine.name, machine.address, machine.disk);
    void machine.process.open([]);
  }

  /** Everything that is under way happens, in its order, until nothing is. */
  async #rest(): Promise<void> {
    await this.#drained();
    for (let step = 0; step < maxSettlingSteps; step += 1) {
      const channel = this.#net.channels()[0];
      const syncing = this.#machines.find(({ syncs }) => syncs.waiting > 0);
      if (channel === undefined && syncing === undefined) return;
      if (syncing !== undefined) syncing.syncs.runNext();
      else if (channel !== undefined) this.#net.deliver(channel);
      await this.#drained();
    }
    this.invariants.complain('the group comes to no rest');
  }

  /** Every promise that can go on does, and the invariants are looked at. */
  async #drained(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
    for (const { process } of this.#machines) this.invariants.look(process);
    if (this.invariants.violations.length > 0) throw new SimulationError(this.invariants.violations.join('\n'));
  }

  #serves(): boolean {
    return this.#machines.some(({ process }) => process.member?.isLeader === true && process.member.committed >= this.invariants.highest);
  }
}

function print(text: string): string {
  return createHash('sha1').update(text).digest('base64');
}
