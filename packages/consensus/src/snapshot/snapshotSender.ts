import { createHash } from 'node:crypto';
import { Encoder } from 'cbor-x';
import { consensusCalls } from '../protocol/consensusCalls.js';
import type { Follower } from '../election/follower.js';
import type { MemberState } from '../state/memberState.js';
import type { Snapshot } from './snapshot.js';

/** Far below what one message may hold, so that heartbeats of other shards on the same connection don't wait long behind it. */
const chunkBytes = 1 << 20;
/** A chunk may take so many failure timeouts: the last one is answered only after the receiver's sync. */
const chunkTimeouts = 4;

interface EncodedSnapshot {
  readonly snapshot: Snapshot;
  readonly bytes: Uint8Array;
  readonly checksum: string;
}

interface Transfer {
  readonly encoded: EncodedSnapshot;
  /** What the receiver holds of it. */
  offset: number;
}

/**
 * Sends snapshots from a leader. One that is being sent is pinned until it is taken or its receiver goes, however often the log is
 * compacted meanwhile, and sending resumes at what the receiver holds. It is encoded once for all who receive it at the same time.
 */
export class SnapshotSender<C, R> {
  readonly #state: MemberState<C, R>;
  readonly #term: number;
  readonly #transfers = new Map<string, Transfer>();

  constructor(state: MemberState<C, R>, term: number) {
    this.#state = state;
    this.#term = term;
  }

  /** The oldest index from which a receiver will go on by entries. */
  get pinnedIndex(): number | undefined {
    const indices = [...this.#transfers.values()].map(({ encoded }) => encoded.snapshot.index);
    return indices.length === 0 ? undefined : Math.min(...indices);
  }

  /** Whether a snapshot is under way to this member. */
  isSending(follower: Follower): boolean {
    return this.#transfers.has(follower.groupMember.identity.memberId);
  }

  /** Receivers that left the group hold nothing back. */
  keepOnly(memberIds: ReadonlySet<string>): void {
    for (const memberId of this.#transfers.keys()) if (!memberIds.has(memberId)) this.#transfers.delete(memberId);
  }

  end(): void {
    this.#transfers.clear();
  }

  /** Sends one chunk. Returns the index of a snapshot that has been taken and synced, and the newest term of the receiver. */
  async sendChunk(follower: Follower): Promise<{ readonly term: number; readonly takenIndex: number | undefined; readonly more: boolean }> {
    const { options } = this.#state;
    const { memberId, address } = follower.groupMember.identity;
    const transfer = this.#transfers.get(memberId) ?? { encoded: this.#encode(), offset: 0 };
    this.#transfers.set(memberId, transfer);
    const { encoded, offset } = transfer;
    const { snapshot, bytes, checksum } = encoded;
    const reply = await options.transport.ask(
      address,
      consensusCalls.installSnapshot,
      {
        shard: options.shard,
        memberId,
        from: options.self.name,
        term: this.#term,
        leader: options.self,
        index: snapshot.index,
        snapshotTerm: snapshot.term,
        lengthBytes: bytes.length,
        checksum,
        offset,
        bytes: bytes.slice(offset, offset + chunkBytes),
      },
      options.bounds.failureTimeoutMs * chunkTimeouts,
    );
    if (reply.outcome === 'taken') {
      this.#transfers.delete(memberId);
      options.counters.add('consensus.snapshotSent');
      return { term: reply.term, takenIndex: snapshot.index, more: true };
    }
    if (reply.outcome === 'refused') {
      // It begins anew, from a new encoding, at the next heartbeat.
      this.#transfers.delete(memberId);
      options.counters.add('consensus.snapshotNotTaken');
      return { term: reply.term, takenIndex: undefined, more: false };
    }
    const moved = reply.held !== offset;
    if (reply.held !== offset + chunkBytes) options.counters.add('consensus.snapshotResumed');
    transfer.offset = Math.min(reply.held, bytes.length);
    return { term: reply.term, takenIndex: undefined, more: moved };
  }

  #encode(): EncodedSnapshot {
    const { snapshot } = this.#state.log;
    for (const { encoded } of this.#transfers.values()) if (encoded.snapshot === snapshot) return encoded;
    const bytes = new Encoder({ useRecords: false }).encode(snapshot);
    const checksum = createHash('sha256').update(bytes).digest('hex');
    this.#state.options.counters.add('consensus.snapshotEncoded');
    return { snapshot, bytes, checksum };
  }
}
