import type { Address, NodeName } from '@pewterlanding/model';
import { Journal, TransportError } from '@pewterlanding/runtime';
import type { GroupMember, Identity } from '../group/index.js';
import { ShardFile } from '../log/index.js';
import { Member } from '../member/index.js';
import { consensusCalls, replyAsLeader } from '../protocol/index.js';
import type { MemberOptions, ShardEnvironment, StateMachine } from '../state/index.js';
import { DamagedShardFileError } from './damagedShardFileError.js';
import { MemberIdentities } from './memberIdentities.js';

interface ShardHostOptions extends ShardEnvironment {
  readonly name: NodeName;
  readonly address: Address;
  /** Creates member ids; passed in so that simulations are repeatable. */
  readonly mintMemberId?: () => string;
}

type HostedMember = Pick<
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

const fileEnding = '.shard';

/** The shards that one process is a member of: opens and drops them, and serves their calls. Calls for another member id are refused. */
export class ShardHost {
  readonly #options: ShardHostOptions;
  readonly #members = new Map<string, HostedMember>();
  /** Files that were read for their groups and not opened yet. They may be large, so that reading them twice would delay a start. */
  readonly #files = new Map<string, ShardFile>();
  readonly #identities: MemberIdentities;
  /** By shard, the member id that a call was last refused for. */
  readonly #refusedMemberIds = new Map<string, string>();

  constructor(options: ShardHostOptions) {
    this.#options = options;
    this.#identities = new MemberIdentities(options);
    this.#serve();
  }

  /** This process's identity in a shard; created and synced at the first call. */
  identity(shard: string): Promise<Identity> {
    return this.#identities.get(shard);
  }

  /** The group that a shard's file holds; empty where there is no file. Rejects with UnsupportedFormatError. */
  async known(shard: string): Promise<readonly GroupMember[]> {
    const file = this.#files.get(shard) ?? this.#file(shard);
    this.#files.set(shard, file);
    return file.group();
  }

  /** The group as the member here has it; undefined while none is open. */
  group(shard: string): readonly GroupMember[] | undefined {
    return this.#members.get(shard)?.group();
  }

  /** The shards that the disk holds files for. */
  async shards(): Promise<readonly string[]> {
    return (await this.#options.disk.list()).filter((file) => file.endsWith(fileEnding)).map((file) => file.slice(0, -fileEnding.length));
  }

  /**
   * Opens the member of a shard. A file damaged before its tail is emptied, and the member rejoins under a new member id. Rejects with
   * UnsupportedFormatError, or with DamagedShardFileError where the emptied file still reads as damaged.
   */
  async host<C, R>(
    shard: string,
    bootstrap: readonly GroupMember[],
    stateMachine: StateMachine<C, R>,
    hooks: Hooks<C, R> = {},
  ): Promise<Member<C, R>> {
    const { clock, transport, disk, bounds, counters, log, fatal } = this.#options;
    const readAhead = this.#files.get(shard);
    this.#files.delete(shard);
    const open = async (file: ShardFile): Promise<Member<C, R> | 'damaged'> =>
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
    let opened = await open(readAhead ?? this.#file(shard));
    if (opened === 'damaged') {
      // Its votes may be lost, so it must not vote under this member id again.
      log.error(`${shard}: the file is damaged before its tail; rejoining as an empty member`);
      counters.add('consensus.damaged');
      // The new id first: with an empty file under the old one, the member could vote twice in a term.
      await this.#identities.mint(shard);
      await new Journal(disk, fileOf(shard)).rewrite([]);
      opened = await open(this.#file(shard));
      if (opened === 'damaged') throw new DamagedShardFileError(shard);
    }
    this.#members.set(shard, opened);
    return opened;
  }

  /** Drops a shard and its file for good. The member id goes first: what may be left of the file must not vote under it again. */
  async drop(shard: string): Promise<void> {
    this.#members.get(shard)?.close();
    this.#members.delete(shard);
    this.#files.delete(shard);
    await this.#identities.drop(shard);
    await this.#options.disk.remove(fileOf(shard));
  }

  /** Closes all members. */
  close(): void {
    for (const member of this.#members.values()) member.close();
  }

  #file(shard: string): ShardFile {
    return new ShardFile(new Journal(this.#options.disk, fileOf(shard)), shard);
  }

  #member(body: { readonly shard: string; readonly memberId: string }): HostedMember {
    const member = this.#members.get(body.shard);
    if (member === undefined || member.self.memberId !== body.memberId) {
      this.#options.counters.add('consensus.turnedAway');
      this.#logRefusal(body);
      throw new TransportError('refused', `${body.shard}: not that member`);
    }
    return member;
  }

  /** A leader goes on calling a replaced member until it has found out, so only the first call is logged. */
  #logRefusal({ shard, memberId }: { readonly shard: string; readonly memberId: string }): void {
    if (this.#refusedMemberIds.get(shard) === memberId) return;
    this.#refusedMemberIds.set(shard, memberId);
    const own = this.#members.get(shard)?.self.memberId ?? 'no member';
    this.#options.log.warn(`${shard}: refused a call meant for member ${memberId}; here is ${own}`);
  }

  #serve(): void {
    const { transport } = this.#options;
    transport.serve(consensusCalls.identify, ({ shard }) => this.identity(shard));
    transport.serve(consensusCalls.view, async ({ shard }) => {
      const member = this.#members.get(shard);
      if (member === undefined) return { served: false };
      return replyAsLeader(async () => {
        await member.confirmLeadership();
        // A node may drop its copy on this response, and a removal that is not committed may yet be undone by the next leader.
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
}

function fileOf(shard: string): string {
  return `${shard}${fileEnding}`;
}
