import { createHash } from 'node:crypto';
import { Encoder } from 'cbor-x';
import type * as v from 'valibot';
import { consensusCalls } from '../protocol/index.js';
import type { Snapshot } from '../snapshot/index.js';
import type { MemberState } from '../state/index.js';
import type { Follower } from './follower.js';

/** Far below what one message may hold, so that heartbeats of other shards on the same connection are not delayed long. */
const chunkBytes = 1 << 20;
/** The wait for a chunk's reply in failure timeouts: the last one is answered only after the receiver's sync. */
const chunkTimeouts = 4;

type InstallSnapshotResponse = v.InferOutput<typeof consensusCalls.installSnapshot.response>;

interface EncodedSnapshot {
  readonly snapshot: Snapshot;
  readonly bytes: Uint8Array;
  /** SHA-256 in hex. */
  readonly checksum: string;
}

interface ChunkResult {
  /** The receiver's current term. */
  readonly term: number;
  /** The index of the snapshot, once the receiver has installed and synced it. */
  readonly installedIndex: number | undefined;
  readonly hasMore: boolean;
}

interface Transfer {
  readonly encoded: EncodedSnapshot;
  /** How many bytes of it the receiver has. */
  offset: number;
}

/**
 * Sends snapshots from a leader in chunks (Raft, section 7). A snapshot that is being sent is pinned until the receiver has installed
 * it or left the group, however often the log is compacted meanwhile, and sending resumes at the bytes that the receiver has. A
 * snapshot is encoded once for all who receive it at the same time.
 */
export class SnapshotSender<C, R> {
  readonly #state: MemberState<C, R>;
  readonly #term: number;
  readonly #transfers = new Map<string, Transfer>();

  constructor(state: MemberState<C, R>, term: number) {
    this.#state = state;
    this.#term = term;
  }

  /** The lowest index of a snapshot being sent: its receiver will need the entries after it. */
  get pinnedIndex(): number | undefined {
    const indices = [...this.#transfers.values()].map(({ encoded }) => encoded.snapshot.index);
    return indices.length === 0 ? undefined : Math.min(...indices);
  }

  /** Whether a snapshot is being sent to this follower. */
  isSendingTo(follower: Follower): boolean {
    return this.#transfers.has(follower.groupMember.identity.memberId);
  }

  /** Drops the transfers to members that left the group, and with them their pins. */
  keepOnly(memberIds: ReadonlySet<string>): void {
    for (const memberId of this.#transfers.keys()) if (!memberIds.has(memberId)) this.#transfers.delete(memberId);
  }

  /** Drops all transfers and their pins. */
  end(): void {
    this.#transfers.clear();
  }

  /** Sends the next chunk. Rejects with TransportError where no reply comes. */
  async sendChunk(follower: Follower): Promise<ChunkResult> {
    const { options } = this.#state;
    const { memberId, address } = follower.groupMember.identity;
    const transfer = this.#transfers.get(memberId) ?? { encoded: this.#encode(), offset: 0 };
    this.#transfers.set(memberId, transfer);
    const { encoded, offset } = transfer;
    const { snapshot, bytes, checksum } = encoded;
    const request = {
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
    };
    const timeoutMs = options.bounds.failureTimeoutMs * chunkTimeouts;
    return this.#apply(memberId, transfer, await options.transport.ask(address, consensusCalls.installSnapshot, request, timeoutMs));
  }

  #apply(memberId: string, transfer: Transfer, reply: InstallSnapshotResponse): ChunkResult {
    const { counters } = this.#state.options;
    const { encoded, offset } = transfer;
    if (reply.outcome === 'taken') {
      this.#transfers.delete(memberId);
      counters.add('consensus.snapshotSent');
      return { term: reply.term, installedIndex: encoded.snapshot.index, hasMore: true };
    }
    if (reply.outcome === 'refused') {
      // The next heartbeat starts again with the current snapshot.
      this.#transfers.delete(memberId);
      counters.add('consensus.snapshotNotTaken');
      return { term: reply.term, installedIndex: undefined, hasMore: false };
    }
    if (reply.held !== offset + chunkBytes) counters.add('consensus.snapshotResumed');
    transfer.offset = Math.min(reply.held, encoded.bytes.length);
    return { term: reply.term, installedIndex: undefined, hasMore: reply.held !== offset };
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
