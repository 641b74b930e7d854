import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { mergePatchBetween } from '@pewterlanding/model';
import { every } from '@pewterlanding/runtime';
import { AntiEntropy } from './anti-entropy/antiEntropy.js';
import { StateTable } from './state-table/stateTable.js';
import type { NodeRecord } from './state-table/nodeRecord.js';
import { nodeRecordOf } from './state-table/nodeRecordOf.js';
import { FailureDetector } from './failure-detector/failureDetector.js';
import { isNewer } from './state-table/isNewer.js';
import { membershipCalls } from './protocol/membershipCalls.js';
import type { MembershipBounds } from './protocol/membershipBounds.js';
import { UpdateBatcher } from './broadcast/updateBatcher.js';
import type { Update } from './state-table/update.js';
import { NodePlaces } from './nodePlaces.js';
import { Broadcaster } from './broadcast/broadcaster.js';
import { Ring } from './failure-detector/ring.js';
import type { Version } from './state-table/version.js';

interface MembershipOptions {
  readonly nodeRecord: Omit<NodeRecord, 'state'>;
  readonly seeds: readonly Address[];
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: MembershipBounds;
  readonly counters: Counters;
  readonly log: Log;
}

const prefix = 'node/';
/** News that follow others within this part of a beat go on together; volatile ones within a longer part where nodes are many. */
const gatherRatio = 1 / 16;
const maxGatherRatio = 1 / 4;
/** Who has just started and is alone seeks others so often into a beat: those may be starting, too. */
const startLooks = 6;
/** A change longer than this part of the whole is not worth its trouble. */
const changeRatio = 0.5;

/** One node's acquaintance with the others: who is here, and the news all share. */
export class Membership {
  readonly stateTable = new StateTable();
  readonly #options: MembershipOptions;
  readonly #listeners: ((update: Update, sent: Update) => void)[] = [];
  readonly #stops: (() => void)[] = [];
  readonly #places = new NodePlaces();
  /** By their keys on the board. */
  readonly #nodeRecords = new Map<string, NodeRecord>();
  #live: readonly NodeRecord[] = [];
  #byName: ReadonlyMap<NodeName, NodeRecord> = new Map();
  #ring: Ring<NodeName>;
  #relays: Broadcaster;
  readonly #gathering: UpdateBatcher;
  readonly #detector: FailureDetector;
  readonly #antiEntropy: AntiEntropy;
  #version: Version;
  #state: NodeRecord['state'] = 'here';

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#ring = new Ring([], options.bounds.watchers, this.#places);
    // The wall clock makes incarnations grow over restarts; where it went back, the refutation below mends it.
    this.#version = [Math.floor(options.clock.wallMs()), 0];
    const { transport, clock, bounds } = options;
    this.#relays = new Broadcaster(this.name, [], this.#places);
    this.#gathering = this.#makeGathering();
    this.#detector = this.#makeDetector();
    this.#antiEntropy = this.#makeAntiEntropy();
    transport.serve(membershipCalls.heartbeat, async (body) => this.#takeHeartbeat(body));
    transport.serve(membershipCalls.update, async (body) => {
      this.#take(body.updates, body.from);
      return {};
    });
    this.#say();
    this.#stops.push(every(clock, bounds.heartbeatMs, () => this.#heartbeat()));
    this.#stops.push(every(clock, bounds.failureTimeoutMs, () => this.#antiEntropy.seek()));
    this.#antiEntropy.seekAll();
    const looks = every(clock, bounds.heartbeatMs / startLooks, () => (this.#live.length > 1 ? looks() : this.#antiEntropy.seekAll()));
    this.#stops.push(looks, clock.after(bounds.failureTimeoutMs, looks));
  }

  get name(): NodeName {
    return this.#options.nodeRecord.name;
  }

  /** The cards of all nodes that are here, this one included. */
  live(): readonly NodeRecord[] {
    return this.#live;
  }

  /** Every card ever heard of, with its state. */
  nodeRecords(): readonly NodeRecord[] {
    return [...this.#nodeRecords.values()];
  }

  nodeRecord(name: NodeName): NodeRecord | undefined {
    return this.#byName.get(name);
  }

  /** Hears all news from now on, and as they go on to others; first all that is known by now, so that nothing is missed. */
  onUpdate(listen: (update: Update, sent: Update) => void): void {
    for (const update of [...this.stateTable.withPrefix('')]) listen(update, update);
    this.#listeners.push(listen);
  }

  /** Hears of every node's changes; `begun` where its process began anew or was never heard of before. */
  onNodeRecord(listen: (nodeRecord: NodeRecord, begun: boolean) => void): void {
    const known = new Map<NodeName, number>();
    this.onUpdate((update) => {
      const nodeRecord = update.key.startsWith(prefix) ? nodeRecordOf(update) : undefined;
      if (nodeRecord === undefined) return;
      const begun = nodeRecord.state === 'here' && known.get(nodeRecord.name) !== update.version[0];
      if (begun) known.set(nodeRecord.name, update.version[0]);
      listen(nodeRecord, begun);
    });
  }

  /** More addresses to seek others at, beside the seeds, which may all have been replaced. */
  meet(addresses: readonly Address[]): void {
    this.#antiEntropy.meet(addresses);
  }

  /** Puts news on the board and sends it along the tree. False when it is not newer. */
  put(update: Update): boolean {
    return this.#take([update], this.name) > 0;
  }

  /** Puts news that differs little from what is held: it travels as a change where that is much shorter. */
  putChanged(update: Update): boolean {
    const known = this.stateTable.get(update.key);
    const patch = known === undefined ? undefined : mergePatchBetween(known.value, update.value);
    if (known === undefined || patch === undefined || lengthOf(patch) > lengthOf(update.value) * changeRatio) return this.put(update);
    return this.put({ ...update, value: undefined, change: { from: known.version, patch } });
  }

  /** Says that this node goes, so that nobody has to find out. */
  leave(): void {
    // Once it has left it is no part of the tree, so those who were its relays are told here.
    const { neighbours } = this.#relays;
    this.#gathering.flush();
    this.#state = 'left';
    this.#version = [this.#version[0], this.#version[1] + 1];
    this.#say();
    this.#tell(neighbours, [this.#own()]);
    this.close();
  }

  close(): void {
    for (const stop of this.#stops) stop();
    this.#gathering.close();
  }

  #say(): void {
    this.#take([this.#own()], this.name);
  }

  #own(): Update {
    return { key: prefix + this.name, version: this.#version, volatile: false, value: { ...this.#options.nodeRecord, state: this.#state } };
  }

  #take(all: readonly Update[], from: NodeName, passes = true): number {
    const fresh: { readonly update: Update; readonly sent: Update }[] = [];
    for (const sent of all) {
      if (!isNewer(sent.version, this.stateTable.get(sent.key)?.version)) continue;
      const update = this.stateTable.whole(sent);
      if (update !== 'unknown') {
        fresh.push({ update, sent });
        this.stateTable.put(update);
        continue;
      }
      // A change on a version that is not here is not applied: the whole is asked for where it came from.
      this.#options.counters.add('membership.changeUnknown');
      const nodeRecord = this.nodeRecord(from);
      if (nodeRecord !== undefined) void this.#antiEntropy.compareWith(nodeRecord.address);
    }
    if (fresh.length === 0) return 0;
    // Ring and tree are derived once for all cards that come together; one by one a start would cost nodes x nodes.
    const nodeRecords = fresh.filter(({ update }) => update.key.startsWith(prefix));
    if (nodeRecords.map(({ update }) => this.#takeNodeRecord(update)).some((changed) => changed)) this.#arrange();
    for (const { update, sent } of fresh) for (const listen of this.#listeners) listen(update, sent);
    if (passes) this.#gathering.add(fresh.map(({ sent }) => ({ update: sent, from })));
    return fresh.length;
  }

  /** False where the card was refuted. */
  #takeNodeRecord(update: Update): boolean {
    const nodeRecord = nodeRecordOf(update);
    if (
      nodeRecord?.name === this.name &&
      this.#state === 'here' &&
      (nodeRecord.state !== 'here' || nodeRecord.address !== this.#options.nodeRecord.address)
    ) {
      // A rumour of this node's end is answered with a later turn; so is a card left by an earlier life.
      this.#options.counters.add('membership.refuted');
      this.#version = [Math.max(update.version[0], this.#version[0]), update.version[1] + 1];
      this.#say();
      return false;
    }
    if (nodeRecord?.name === this.name) this.#version = update.version;
    if (nodeRecord === undefined) this.#nodeRecords.delete(update.key);
    else this.#nodeRecords.set(update.key, nodeRecord);
    return true;
  }

  /** Derives ring and tree anew from who is here. */
  #arrange(): void {
    const { bounds, log } = this.#options;
    const before = this.#byName;
    this.#live = this.nodeRecords()
      .filter((nodeRecord) => nodeRecord.state === 'here')
      .sort((a, b) => (a.name < b.name ? -1 : 1));
    this.#byName = new Map(this.#live.map((nodeRecord) => [nodeRecord.name, nodeRecord]));
    this.#ring = new Ring([...this.#byName.keys()], bounds.watchers, this.#places);
    this.#relays = new Broadcaster(this.name, this.#live, this.#places);
    for (const name of this.#byName.keys()) if (!before.has(name)) log.info(`${name} is here`);
    for (const name of before.keys()) if (!this.#byName.has(name)) log.info(`${name} is away`);
    this.#detector.watch(this.#ring.charges(this.name));
  }

  #passOn(all: readonly { readonly update: Update; readonly from: NodeName }[]): void {
    for (const nodeRecord of this.#relays.neighbours) {
      const updates = all.flatMap((one) => (one.from === nodeRecord.name ? [] : [one.update]));
      if (updates.length > 0) this.#tell([nodeRecord], updates);
    }
  }

  #tell(relays: readonly NodeRecord[], updates: readonly Update[]): void {
    for (const nodeRecord of relays) {
      if (nodeRecord.name === this.name) continue;
      this.#options.counters.add('membership.newsSent');
      this.#options.transport.tell(nodeRecord.address, membershipCalls.update, {
        from: this.name,
        updates: updates.map((one) => this.#relays.narrowed(one, nodeRecord.name)),
      });
    }
  }

  #heartbeat(): void {
    const heartbeat = { nodeRecord: this.#own(), checksum: this.stateTable.checksum };
    for (const name of this.#ring.watchers(this.name)) {
      const nodeRecord = this.nodeRecord(name);
      if (nodeRecord === undefined) continue;
      this.#options.counters.add('membership.beatsSent');
      this.#options.transport.tell(nodeRecord.address, membershipCalls.heartbeat, heartbeat);
    }
    // Who knows nobody yet must not wait a silence for each seed that is down.
    if (this.#live.length <= 1) this.#antiEntropy.seekAll();
    this.#detector.look();
  }

  async #takeHeartbeat(body: { readonly nodeRecord: Update; readonly checksum: number }): Promise<Record<string, never>> {
    const nodeRecord = nodeRecordOf(body.nodeRecord);
    if (nodeRecord === undefined) return {};
    this.#detector.heard(nodeRecord.name);
    this.#take([body.nodeRecord], nodeRecord.name);
    await this.#antiEntropy.heard(body.checksum, nodeRecord.address);
    return {};
  }

  #gone(nodeRecord: NodeRecord): void {
    const update = this.stateTable.get(prefix + nodeRecord.name);
    if (update === undefined) return;
    this.#options.counters.add('membership.gone');
    this.put({ ...update, version: [update.version[0], update.version[1] + 1], value: { ...nodeRecord, state: 'gone' } });
  }

  #makeGathering(): UpdateBatcher {
    const { clock, bounds } = this.#options;
    return new UpdateBatcher({
      clock,
      lastingMs: bounds.heartbeatMs * gatherRatio,
      volatileMs: () => bounds.heartbeatMs * Math.min(maxGatherRatio, Math.max(gatherRatio, this.#live.length / 256)),
      send: (all) => this.#passOn(all),
    });
  }

  #makeDetector(): FailureDetector {
    return new FailureDetector({
      ...this.#options,
      self: this.name,
      nodeRecord: (name) => this.nodeRecord(name),
      watchers: (name) => this.#ring.watchers(name),
      gone: (nodeRecord) => this.#gone(nodeRecord),
    });
  }

  #makeAntiEntropy(): AntiEntropy {
    return new AntiEntropy({
      ...this.#options,
      self: this.name,
      stateTable: this.stateTable,
      gone: () => this.nodeRecords().filter((nodeRecord) => nodeRecord.state === 'gone'),
      take: (newer, first) => {
        this.#take(newer, this.name, !first);
        // What a newcomer is told first the others have already; those it relays for lack only its own card.
        if (first) this.#tell(this.#relays.neighbours, [this.#own()]);
      },
    });
  }
}

function lengthOf(value: unknown): number {
  return JSON.stringify(value).length;
}
