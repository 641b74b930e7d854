import type { Address, NodeName } from '@pewterlanding/model';
import { mergePatchBetween } from '@pewterlanding/model';
import { every } from '@pewterlanding/runtime';
import { AntiEntropy } from '../anti-entropy/index.js';
import { UpdateBatcher } from '../broadcast/index.js';
import { FailureDetector } from '../failure-detector/index.js';
import { membershipCalls } from '../protocol/index.js';
import { isNewer, nodeRecordOf, StateTable } from '../state-table/index.js';
import type { NodeRecord, Update } from '../state-table/index.js';
import type { MembershipOptions } from './membershipOptions.js';
import { NodeDirectory } from './nodeDirectory.js';
import { nodeKeyPrefix } from './nodeKeyPrefix.js';
import { SelfRecord } from './selfRecord.js';

interface AppliedUpdate {
  /** With its whole value. */
  readonly update: Update;
  /** As it was received, perhaps as a change of an earlier value. */
  readonly sent: Update;
}

/** Updates that follow others within this part of a heartbeat interval are sent together. */
const batchRatio = 1 / 16;
/** Volatile updates wait at most this part of a heartbeat interval, */
const maxVolatileBatchRatio = 1 / 4;
/** and below that an interval for each so many live nodes, so that a large cluster sends no more messages. */
const nodesPerInterval = 256;
/** A node that has just started and is alone tries its seeds so often in a heartbeat interval: they may be starting, too. */
const joinAttemptsPerHeartbeat = 6;
/** A change longer than this part of the whole value is not worth sending in its place. */
const maxChangeRatio = 0.5;

/**
 * One node's view of the cluster: which nodes are live, and a table of updates that all nodes share. Failures are detected as in
 * SWIM, by a few watchers that also ask each other; updates go along a relay tree, and anti-entropy makes up for lost ones.
 */
export class Membership {
  readonly stateTable = new StateTable();
  readonly #options: MembershipOptions;
  readonly #self: SelfRecord;
  readonly #nodes: NodeDirectory;
  readonly #batcher: UpdateBatcher;
  readonly #detector: FailureDetector;
  readonly #antiEntropy: AntiEntropy;
  readonly #listeners: ((update: Update, sent: Update) => void)[] = [];
  readonly #stops: (() => void)[] = [];

  constructor(options: MembershipOptions) {
    const { transport, clock, bounds, log } = options;
    this.#options = options;
    // The wall clock makes incarnations grow over restarts. Where it was set back, the node refutes its older record.
    this.#self = new SelfRecord(options.nodeRecord, Math.floor(clock.wallMs()));
    this.#nodes = new NodeDirectory(this.name, bounds.watchers, log);
    this.#batcher = this.#createBatcher();
    this.#detector = this.#createDetector();
    this.#antiEntropy = this.#createAntiEntropy();
    transport.serve(membershipCalls.heartbeat, async (body) => this.#receiveHeartbeat(body));
    transport.serve(membershipCalls.update, async (body) => {
      this.#apply(body.updates, body.from);
      return {};
    });
    this.#publishSelf();
    this.#stops.push(every(clock, bounds.heartbeatMs, () => this.#heartbeat()));
    this.#stops.push(every(clock, bounds.failureTimeoutMs, () => this.#antiEntropy.runRound()));
    this.#join();
  }

  /** This node's name. */
  get name(): NodeName {
    return this.#options.nodeRecord.name;
  }

  /** The records of all live nodes, this one included. */
  live(): readonly NodeRecord[] {
    return this.#nodes.live;
  }

  /** Every record ever received, with its state. */
  nodeRecords(): readonly NodeRecord[] {
    return this.#nodes.all;
  }

  /** The record of a live node. */
  nodeRecord(name: NodeName): NodeRecord | undefined {
    return this.#nodes.get(name);
  }

  /**
   * Calls `listen` with each update from now on, whole and as it was sent; first with everything the table holds, so that nothing is
   * missed.
   */
  onUpdate(listen: (update: Update, sent: Update) => void): void {
    for (const update of [...this.stateTable.withPrefix('')]) listen(update, update);
    this.#listeners.push(listen);
  }

  /** Calls `listen` with each node record that changes; `restarted` where the node's process is new or was not known before. */
  onNodeRecord(listen: (nodeRecord: NodeRecord, restarted: boolean) => void): void {
    const incarnations = new Map<NodeName, number>();
    this.onUpdate((update) => {
      const nodeRecord = update.key.startsWith(nodeKeyPrefix) ? nodeRecordOf(update) : undefined;
      if (nodeRecord === undefined) return;
      const [incarnation] = update.version;
      const restarted = nodeRecord.state === 'here' && incarnations.get(nodeRecord.name) !== incarnation;
      if (restarted) incarnations.set(nodeRecord.name, incarnation);
      listen(nodeRecord, restarted);
    });
  }

  /** Adds addresses to join at besides the seeds, which may all have been replaced. */
  meet(addresses: readonly Address[]): void {
    this.#antiEntropy.addAddresses(addresses);
  }

  /** Puts an update into the table and broadcasts it. False when the table holds the same version or a newer one. */
  put(update: Update): boolean {
    return this.#apply([update], this.name) > 0;
  }

  /** Like `put`, for a value close to the one in the table: it is sent as a merge patch where that is much shorter. */
  putChanged(update: Update): boolean {
    const known = this.stateTable.get(update.key);
    const patch = known === undefined ? undefined : mergePatchBetween(known.value, update.value);
    if (known === undefined || patch === undefined || lengthOf(patch) > lengthOf(update.value) * maxChangeRatio) return this.put(update);
    return this.put({ ...update, value: undefined, change: { from: known.version, patch } });
  }

  /** Announces that this node leaves, so that no failure timeout has to pass, and closes. */
  leave(): void {
    // Once it has left it is not in the relay tree any more, so its neighbours of before are sent the update directly.
    const { neighbours } = this.#nodes.broadcaster;
    this.#batcher.flush();
    this.#self.markLeft();
    this.#publishSelf();
    this.#send(neighbours, [this.#self.update()]);
    this.close();
  }

  /** Stops at once, without an announcement. */
  close(): void {
    for (const stop of this.#stops) stop();
    this.#batcher.close();
  }

  /** Tries all known addresses at once, and again until another node is known or a failure timeout has passed. */
  #join(): void {
    const { clock, bounds } = this.#options;
    this.#antiEntropy.compareWithAllAddresses();
    const stop = every(clock, bounds.heartbeatMs / joinAttemptsPerHeartbeat, () =>
      this.live().length > 1 ? stop() : this.#antiEntropy.compareWithAllAddresses(),
    );
    this.#stops.push(stop, clock.after(bounds.failureTimeoutMs, stop));
  }

  #publishSelf(): void {
    this.#apply([this.#self.update()], this.name);
  }

  /** Applies what is newer than the table, and returns how many updates were. `isRelayed` is false for what others hold already. */
  #apply(updates: readonly Update[], from: NodeName, isRelayed = true): number {
    const applied = updates.flatMap((sent) => this.#putNewer(sent, from) ?? []);
    if (applied.length === 0) return 0;
    // The ring and the tree are derived once for all records that come together; deriving them for each would be quadratic at a start.
    const changes = applied.filter(({ update }) => update.key.startsWith(nodeKeyPrefix)).map(({ update }) => this.#applyNodeRecord(update));
    if (changes.some((changed) => changed)) {
      this.#nodes.rebuild();
      this.#detector.watch(this.#nodes.ring.watchedBy(this.name));
    }
    for (const { update, sent } of applied) for (const listen of this.#listeners) listen(update, sent);
    if (isRelayed) this.#batcher.add(applied.map(({ sent }) => ({ update: sent, from })));
    return applied.length;
  }

  /** Puts one update into the table; undefined where it is not newer, or a change of a version that is not here. */
  #putNewer(sent: Update, from: NodeName): AppliedUpdate | undefined {
    if (!isNewer(sent.version, this.stateTable.get(sent.key)?.version)) return undefined;
    const update = this.stateTable.whole(sent);
    if (update !== 'unknown') {
      this.stateTable.put(update);
      return { update, sent };
    }
    // The whole value is fetched from the node that sent the change.
    this.#options.counters.add('membership.changeUnknown');
    const nodeRecord = this.nodeRecord(from);
    if (nodeRecord !== undefined) void this.#antiEntropy.compareWith(nodeRecord.address);
    return undefined;
  }

  /** False where the record was of this node and is refuted. */
  #applyNodeRecord(update: Update): boolean {
    const nodeRecord = nodeRecordOf(update);
    if (nodeRecord !== undefined && this.#self.isContradictedBy(nodeRecord)) {
      // Also covers a record that an earlier process of this node left behind.
      this.#options.counters.add('membership.refuted');
      this.#self.refute(update.version);
      this.#publishSelf();
      return false;
    }
    if (nodeRecord?.name === this.name) this.#self.adopt(update.version);
    this.#nodes.set(update.key, nodeRecord);
    return true;
  }

  /** Relays updates to the neighbours in the tree, but not back to where each came from. */
  #relay(batch: readonly { readonly update: Update; readonly from: NodeName }[]): void {
    for (const nodeRecord of this.#nodes.broadcaster.neighbours) {
      const updates = batch.flatMap(({ update, from }) => (from === nodeRecord.name ? [] : [update]));
      if (updates.length > 0) this.#send([nodeRecord], updates);
    }
  }

  #send(nodeRecords: readonly NodeRecord[], updates: readonly Update[]): void {
    for (const { name, address } of nodeRecords) {
      if (name === this.name) continue;
      this.#options.counters.add('membership.newsSent');
      this.#options.transport.tell(address, membershipCalls.update, {
        from: this.name,
        updates: updates.map((update) => this.#nodes.broadcaster.narrowed(update, name)),
      });
    }
  }

  #heartbeat(): void {
    const { counters, transport } = this.#options;
    const heartbeat = { nodeRecord: this.#self.update(), checksum: this.stateTable.checksum };
    for (const name of this.#nodes.ring.watchers(this.name)) {
      const nodeRecord = this.nodeRecord(name);
      if (nodeRecord === undefined) continue;
      counters.add('membership.beatsSent');
      transport.tell(nodeRecord.address, membershipCalls.heartbeat, heartbeat);
    }
    // A node that knows no other must not wait a failure timeout for each seed that is down.
    if (this.live().length <= 1) this.#antiEntropy.compareWithAllAddresses();
    this.#detector.checkTimeouts();
  }

  async #receiveHeartbeat(body: { readonly nodeRecord: Update; readonly checksum: number }): Promise<Record<string, never>> {
    const nodeRecord = nodeRecordOf(body.nodeRecord);
    if (nodeRecord === undefined) return {};
    this.#detector.recordHeartbeat(nodeRecord.name);
    this.#apply([body.nodeRecord], nodeRecord.name);
    await this.#antiEntropy.receiveChecksum(body.checksum, nodeRecord.address);
    return {};
  }

  /** Publishes that a node was found to have failed. */
  #markGone(nodeRecord: NodeRecord): void {
    const update = this.stateTable.get(nodeKeyPrefix + nodeRecord.name);
    if (update === undefined) return;
    this.#options.counters.add('membership.gone');
    const [incarnation, sequence] = update.version;
    this.put({ ...update, version: [incarnation, sequence + 1], value: { ...nodeRecord, state: 'gone' } });
  }

  #createBatcher(): UpdateBatcher {
    const { clock, bounds } = this.#options;
    return new UpdateBatcher({
      clock,
      lastingMs: bounds.heartbeatMs * batchRatio,
      volatileMs: () => bounds.heartbeatMs * Math.min(maxVolatileBatchRatio, Math.max(batchRatio, this.live().length / nodesPerInterval)),
      send: (batch) => this.#relay(batch),
    });
  }

  #createDetector(): FailureDetector {
    return new FailureDetector({
      ...this.#options,
      self: this.name,
      nodeRecord: (name) => this.nodeRecord(name),
      watchers: (name) => this.#nodes.ring.watchers(name),
      onFailure: (nodeRecord) => this.#markGone(nodeRecord),
    });
  }

  #createAntiEntropy(): AntiEntropy {
    return new AntiEntropy({
      ...this.#options,
      self: this.name,
      stateTable: this.stateTable,
      gone: () => this.nodeRecords().filter((nodeRecord) => nodeRecord.state === 'gone'),
      merge: (newer, isFirst) => {
        this.#apply(newer, this.name, !isFirst);
        // What a joining node receives first the others hold already; those it relays for lack only its own record.
        if (isFirst) this.#send(this.#nodes.broadcaster.neighbours, [this.#self.update()]);
      },
    });
  }
}

function lengthOf(value: unknown): number {
  return JSON.stringify(value).length;
}
