import { createHash } from 'node:crypto';
import type { Entry, GroupMember, Member } from '@pewterlanding/consensus';
import type { ConfigurationCommand, ConfigurationReturn, ConfigurationShard } from '@pewterlanding/controller';
import { isFields } from '@pewterlanding/model';

type ModelMember = Member<ConfigurationCommand, ConfigurationReturn>;

/** A process that may be a member, and what it holds. */
interface Process {
  readonly member: ModelMember | undefined;
  readonly machine: ConfigurationShard;
}

interface Committed {
  readonly print: string;
  /** The term under which a member was first seen to hold it committed. */
  readonly term: number;
}

interface Placed {
  readonly print: string;
  readonly previousTerm: number | undefined;
}

const everything = Number.MAX_SAFE_INTEGER;

/**
 * What must hold of a group's members at any moment, looked at from outside: one leader a term, logs that match, one history of
 * what was committed, which every later leader holds. Complaints are kept; none may ever be there.
 */
export class Invariants {
  readonly violations: string[] = [];
  readonly #leaders = new Map<number, string>();
  readonly #placed = new Map<string, Placed>();
  readonly #committed = new Map<number, Committed>();
  readonly #states = new Map<number, string>();
  /** Up to where each instance of a member has been looked at. */
  readonly #seen = new Map<ModelMember, number>();
  /** Snapshots of the members that were looked at, by what they hold. */
  readonly #groups = new Map<number, readonly GroupMember[]>();
  #highest = 0;

  /** The newest index that was seen to be committed. */
  get highest(): number {
    return this.#highest;
  }

  /** The group of the newest committed record of one; undefined before the first. */
  get group(): readonly GroupMember[] | undefined {
    return this.#groups.get(Math.max(0, ...this.#groups.keys()));
  }

  complain(what: string): void {
    if (!this.violations.includes(what)) this.violations.push(what);
  }

  /** Looks at one member; it may have been looked at before. */
  look(node: Process): void {
    const { member } = node;
    if (member === undefined) return;
    this.#lookAtLeader(member);
    this.#lookAtLog(member);
    this.#lookAtState(node, member);
  }

  /** What a leader sent is said under its term, whether it serves already or not. */
  led(term: number, memberId: string): void {
    const known = this.#leaders.get(term);
    if (known !== undefined && known !== memberId) this.complain(`term ${term} is led by ${known} and by ${memberId}`);
    this.#leaders.set(term, memberId);
  }

  #lookAtLeader(member: ModelMember): void {
    if (!member.isLeader) return;
    this.led(member.term, member.self.memberId);
    const newest = this.#committed.get(this.#highest);
    if (newest !== undefined && newest.term < member.term && member.committed < this.#highest)
      this.complain(`${member.self.name} leads term ${member.term} up to ${member.committed} without committed ${this.#highest}`);
  }

  #lookAtLog(member: ModelMember): void {
    const seen = this.#seen.get(member) ?? 0;
    const after = member.committed > seen && entriesAfter(member, seen) !== undefined ? seen : member.committed;
    const entries = entriesAfter(member, after) ?? [];
    entries.forEach((entry, step) => {
      const index = after + step + 1;
      const print = printOf(entry);
      this.#place(member, index, entry, { print, previousTerm: entries[step - 1]?.term });
      if (index <= member.committed) this.#commit(member, index, entry, print);
    });
    this.#seen.set(member, member.committed);
  }

  #place(member: ModelMember, index: number, entry: Entry, placed: Placed): void {
    const key = `${index}/${entry.term}`;
    const known = this.#placed.get(key);
    const sameBefore = known?.previousTerm === undefined || placed.previousTerm === undefined || known.previousTerm === placed.previousTerm;
    if (known !== undefined && (known.print !== placed.print || !sameBefore))
      this.complain(`${member.self.name} holds another entry ${index} of term ${entry.term}, or another one before it`);
    if (known === undefined || known.previousTerm === undefined) this.#placed.set(key, placed);
  }

  #commit(member: ModelMember, index: number, entry: Entry, print: string): void {
    const known = this.#committed.get(index);
    if (known !== undefined && known.print !== print) this.complain(`${member.self.name} has committed another entry ${index}`);
    if (known === undefined) this.#committed.set(index, { print, term: member.term });
    this.#highest = Math.max(this.#highest, index);
    if (entry.payload.kind === 'group') this.#groups.set(index, entry.payload.group);
  }

  #lookAtState(node: Process, member: ModelMember): void {
    // What stands in a snapshot was committed elsewhere; what it makes of the state must be the same as there.
    const known = this.#states.get(member.committed);
    if (known !== undefined && this.#seenState.get(member) === member.committed) return;
    this.#seenState.set(member, member.committed);
    const { version, configuration, history, singletonRoles, bootstrapped, placement } = node.machine;
    const print = sha(canonical({ version, configuration, history, singletonRoles, bootstrapped, placement }));
    if (known !== undefined && known !== print) this.complain(`${member.self.name} holds another state at ${member.committed}`);
    this.#states.set(member.committed, print);
  }

  readonly #seenState = new Map<ModelMember, number>();
}

/** A member's log behind an index; undefined where its snapshot reaches beyond it. */
function entriesAfter(member: ModelMember, after: number): readonly Entry[] | undefined {
  const { term } = member;
  const { memberId, name } = member.self;
  const response = member.fetch({ shard: member.shard, memberId, from: name, term, after, limit: everything });
  return response.ok ? response.entries : undefined;
}

function printOf(entry: Entry): string {
  return sha(canonical(entry));
}

function sha(text: string): string {
  return createHash('sha1').update(text).digest('base64');
}

/** The value as text, its keys sorted and nothing undefined, so that it does not matter by which way it came. */
function canonical(value: unknown): string {
  if (value instanceof Uint8Array) return createHash('sha1').update(value).digest('base64');
  if (Array.isArray(value)) return `[${value.map(canonical).join()}]`;
  if (!isFields(value)) return JSON.stringify(value) ?? '';
  const fields = Object.entries(value).filter(([, held]) => held !== undefined);
  return `{${fields
    .map(([key, held]) => `${key}:${canonical(held)}`)
    .sort()
    .join()}}`;
}
