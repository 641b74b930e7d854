import { randomUUID } from 'node:crypto';
import * as v from 'valibot';
import type { Address, NodeName } from '@pewterlanding/model';
import { Journal, TransportError } from '@pewterlanding/runtime';
import { consensusCalls } from '../protocol/consensusCalls.js';
import type { Identity } from '../group/identity.js';
import type { StateMachine } from '../state/stateMachine.js';
import { DamagedShardFileError } from './damagedShardFileError.js';
import { Member } from './member.js';
import type { MemberOptions } from '../state/memberOptions.js';
import { replyAsLeader } from '../protocol/replyAsLeader.js';
import type { ShardEnvironment } from './shardEnvironment.js';
import { ShardFile } from '../log/shardFile.js';
import type { GroupMember } from '../group/groupMember.js';

interface ShardHostOptions extends ShardEnvironment {
  readonly name: NodeName;
  readonly address: Address;
  /** Mints member ids; passed in so that a seed can decide them. */
  readonly mintMemberId?: () => string;
}

type Hosted = Pick<
  Member<unknown, unknown>,
  | 'preVote'
  | 'vote'
  | 'append'
  | 'installSnapshot'
  | 'fetch'
  | 'transfer'
  | 'self'
  | 'close'
  | 'confirmLeadership'
  | 'view'
  | 'group'
  | 'groupCommitted'
>;
type Hooks<C, R> = Pick<MemberOptions<C, R>, 'leadershipChanged' | 'applied' | 'noticed'>;

const MemberIdFile = v.strictObject({ memberId: v.string() });

const fileEnding = '.shard';

/** All the shards that one process is a member of. Tasks meant for another member id are turned away and counted. */
export class ShardHost {
  readonly #options: ShardHostOptions;
  readonly #members = new Map<string, Hosted>();
  /** Files that were read for their members and not opened yet: what they hold may be large, and a start waits for it. */
  readonly #files = new Map<string, ShardFile>();
  readonly #identities = new Map<string, Promise<Identity>>();
  /** The member id that calls were last refused for, by shard. */
  readonly #refused = new Map<string, string>();

  constructor(options: ShardHostOptions) {
    this.#options = options;
    const { transport } = options;
    transport.serve(consensusCalls.identify, ({ shard }) => this.identity(shard));
    transport.serve(consensusCalls.view, async ({ shard }) => {
      const member = this.#members.get(shard);
      if (member === undefined) return { served: false };
      return replyAsLeader(async () => {
        await member.confirmLeadership();
        // Whoever asks may give a copy up on this answer: a removal that isn't committed may yet be undone by the next leader.
        if (!member.groupCommitted) throw new TransportError('refused', `${shard}: a group change is under way`);
        return member.view();
      });
    });
    transport.serve(consensusCalls.preVote, (body) => this.#member(body).preVote(body));
    transport.serve(consensusCalls.vote, (body) => this.#member(body).vote(body));
    transport.serve(consensusCalls.append, (body) => this.#member(body).append(body));
    transport.serve(consensusCalls.installSnapshot, (body) => this.#member(body).installSnapshot(body));
    transport.serve(consensusCalls.fetch, async (body) => this.#member(body).fetch(body));
    transport.serve(consensusCalls.transfer, async (body) => this.#member(body).transfer(body));
  }

  /** Who this process is in a shard; minted and synced the first time it is asked. */
  identity(shard: string): Promise<Identity> {
    const known = this.#identities.get(shard);
    if (known !== undefined) return known;
    const minted = this.#openIdentity(shard);
    this.#identities.set(shard, minted);
    return minted;
  }

  /** The members that a shard's file holds; none where the disk knows nothing of the shard. */
  async known(shard: string): Promise<readonly GroupMember[]> {
    const file = this.#files.get(shard) ?? this.#file(shard);
    this.#files.set(shard, file);
    return file.group();
  }

  /** The members as the member here has them now; undefined while there is none. */
  group(shard: string): readonly GroupMember[] | undefined {
    return this.#members.get(shard)?.group();
  }

  /** The shards that the disk holds files of. */
  async shards(): Promise<readonly string[]> {
    return (await this.#options.disk.list()).filter((file) => file.endsWith(fileEnding)).map((file) => file.slice(0, -fileEnding.length));
  }

  async host<C, R>(
    shard: string,
    bootstrap: readonly GroupMember[],
    stateMachine: StateMachine<C, R>,
    hooks: Hooks<C, R> = {},
  ): Promise<Member<C, R>> {
    const { clock, transport, disk, bounds, counters, log, fatal } = this.#options;
    const read = this.#files.get(shard);
    this.#files.delete(shard);
    const build = async (file: ShardFile): Promise<Member<C, R> | 'damaged'> =>
      Member.open({
        shard,
        file,
        self: await this.identity(shard),
        bootstrap,
        stateMachine,
        clock,
        transport,
        disk,
        bounds,
        counters,
        log,
        fatal,
        ...hooks,
      });
    let opened = await build(read ?? this.#file(shard));
    if (opened === 'damaged') {
      // What it voted cannot be known any more, so it must come back as somebody who voted nothing.
      log.error(`${shard}: the file is damaged before its tail; rejoining as an empty member`);
      counters.add('consensus.damaged');
      // The new id first: an empty file under the old one would vote again as if it had voted nothing.
      await this.#mintMemberId(shard);
      await new Journal(disk, `${shard}.shard`).rewrite([]);
      opened = await build(this.#file(shard));
      if (opened === 'damaged') throw new DamagedShardFileError(shard);
    }
    this.#members.set(shard, opened);
    return opened;
  }

  /** Gives a shard up for good. Its identity goes first: what is left must never vote under it again. */
  async drop(shard: string): Promise<void> {
    this.#members.get(shard)?.close();
    this.#members.delete(shard);
    this.#identities.delete(shard);
    this.#files.delete(shard);
    await this.#options.disk.remove(`${shard}.member`);
    await this.#options.disk.remove(`${shard}.shard`);
  }

  close(): void {
    for (const member of this.#members.values()) member.close();
  }

  #file(shard: string): ShardFile {
    return new ShardFile(new Journal(this.#options.disk, `${shard}${fileEnding}`), shard);
  }

  #member(body: { readonly shard: string; readonly memberId: string }): Hosted {
    const member = this.#members.get(body.shard);
    if (member === undefined || member.self.memberId !== body.memberId) {
      this.#options.counters.add('consensus.turnedAway');
      this.#logRefusal(body);
      throw new TransportError('refused', `${body.shard}: not that member`);
    }
    return member;
  }

  /** Heartbeats to a member that was replaced go on until the leader knows: one line for each is enough. */
  #logRefusal({ shard, memberId }: { readonly shard: string; readonly memberId: string }): void {
    if (this.#refused.get(shard) === memberId) return;
    this.#refused.set(shard, memberId);
    const here = this.#members.get(shard)?.self.memberId ?? 'no member';
    this.#options.log.warn(`${shard}: refused a call meant for member ${memberId}; here is ${here}`);
  }

  async #openIdentity(shard: string): Promise<Identity> {
    const read = await new Journal(this.#options.disk, `${shard}.member`).open();
    const minted = v.safeParse(MemberIdFile, read.records.at(-1));
    return minted.success ? this.#identity(minted.output.memberId) : this.#mintMemberId(shard);
  }

  async #mintMemberId(shard: string): Promise<Identity> {
    const memberId = (this.#options.mintMemberId ?? randomUUID)();
    await new Journal(this.#options.disk, `${shard}.member`).rewrite([{ memberId }]);
    const identity = this.#identity(memberId);
    this.#identities.set(shard, Promise.resolve(identity));
    return identity;
  }

  #identity(memberId: string): Identity {
    return { name: this.#options.name, address: this.#options.address, memberId };
  }
}
