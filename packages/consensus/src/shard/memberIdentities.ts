import { randomUUID } from 'node:crypto';
import * as v from 'valibot';
import type { Address, NodeName } from '@pewterlanding/model';
import { Journal } from '@pewterlanding/runtime';
import type { Disk } from '@pewterlanding/runtime';
import type { Identity } from '../group/index.js';

interface MemberIdentitiesOptions {
  readonly name: NodeName;
  readonly address: Address;
  readonly disk: Disk;
  /** Creates member ids; passed in so that simulations are repeatable. */
  readonly mintMemberId?: () => string;
}

const MemberIdFile = v.strictObject({ memberId: v.string() });

/** This process's identity in each shard. Member ids are kept in a file for each shard. */
export class MemberIdentities {
  readonly #options: MemberIdentitiesOptions;
  readonly #identities = new Map<string, Promise<Identity>>();

  constructor(options: MemberIdentitiesOptions) {
    this.#options = options;
  }

  /** The identity in a shard; created and synced at the first call. Rejects where the disk fails. */
  get(shard: string): Promise<Identity> {
    const known = this.#identities.get(shard);
    if (known !== undefined) return known;
    const opened = this.#open(shard);
    this.#identities.set(shard, opened);
    return opened;
  }

  /** Replaces the identity in a shard by a new one, synced before this resolves. */
  async mint(shard: string): Promise<Identity> {
    const memberId = (this.#options.mintMemberId ?? randomUUID)();
    await this.#file(shard).rewrite([{ memberId }]);
    const identity = this.#identity(memberId);
    this.#identities.set(shard, Promise.resolve(identity));
    return identity;
  }

  /** Drops the identity in a shard; the shard's next one will be new. */
  async drop(shard: string): Promise<void> {
    this.#identities.delete(shard);
    await this.#options.disk.remove(fileOf(shard));
  }

  async #open(shard: string): Promise<Identity> {
    const { records } = await this.#file(shard).open();
    const read = v.safeParse(MemberIdFile, records.at(-1));
    return read.success ? this.#identity(read.output.memberId) : this.mint(shard);
  }

  #file(shard: string): Journal {
    return new Journal(this.#options.disk, fileOf(shard));
  }

  #identity(memberId: string): Identity {
    return { name: this.#options.name, address: this.#options.address, memberId };
  }
}

function fileOf(shard: string): string {
  return `${shard}.member`;
}
