import type { SingletonRole } from '@pewterlanding/agent';
import type { LeaderFinder } from '@pewterlanding/consensus';
import type { Membership } from '@pewterlanding/membership';
import type { Address } from '@pewterlanding/model';
import type { Balances } from '@pewterlanding/rate-limit';
import type { Clock, Counters, Log } from '@pewterlanding/runtime';
import { every } from '@pewterlanding/runtime';
import { ReceivedHandover } from './receivedHandover.js';
import type { RoleHandover } from './roleHandover.js';
import { RoleLeaseClient } from './roleLeaseClient.js';
import { successorOf } from './successorOf.js';

interface RoleLeaseHolderOptions {
  readonly role: string;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly finder: LeaderFinder;
  readonly failureTimeoutMs: number;
  readonly counters: Counters;
  readonly log: Log;
  /** The holder as the state table has it. */
  readonly knownHolder: () => SingletonRole | undefined;
  /** Whether a majority of the configuration shard answers this node now. */
  readonly reachesMajority: () => Promise<boolean>;
  /** Starts the work of the role; `balances` are those of the holder of the preceding term, if they were handed over. */
  readonly acquired: (term: number, balances: Balances | undefined) => void;
  /** Ends the work of the role at once, and brings its last balances. */
  readonly lost: () => Balances | undefined;
  readonly sendHandover: (to: Address, handover: RoleHandover) => Promise<unknown>;
}

/** A lease outlasts a failover of the configuration shard: the failure timeout that starts an election, and as long again for it. */
const leaseTimeouts = 2;
const renewalsPerTimeout = 4;
const expiryChecksPerTimeout = 8;

/**
 * One node's part in a role that a single controller holds at a time. The role is claimed when the leader of the configuration shard
 * offers it, renewed at that leader, and given up by this node's own monotonic clock when no renewal succeeded for a lease.
 */
export class RoleLeaseHolder {
  readonly #options: RoleLeaseHolderOptions;
  readonly #client: RoleLeaseClient;
  readonly #handover = new ReceivedHandover();
  #stops: readonly (() => void)[] = [];
  #term: number | undefined;
  #renewedMs = 0;
  #resigning = false;
  /** Whether this process has claimed anew the role that its predecessor of the same name held. */
  #reclaimed = false;
  #running: Promise<void> | undefined;

  constructor(options: RoleLeaseHolderOptions) {
    this.#options = options;
    this.#client = new RoleLeaseClient(options);
  }

  /** How long a holder acts on its last renewal. */
  static leaseMs(failureTimeoutMs: number): number {
    return failureTimeoutMs * leaseTimeouts;
  }

  /** Starts renewing, and checking for expiry. */
  start(): void {
    const { clock, failureTimeoutMs } = this.#options;
    this.#stops = [
      every(clock, failureTimeoutMs / renewalsPerTimeout, () => this.#exclusively(() => this.#renewOrReclaim())),
      every(clock, failureTimeoutMs / expiryChecksPerTimeout, () => this.#endIfExpired()),
    ];
  }

  /** The term under which this node may act now. To be asked before each step: the lease of a process that was paused has expired. */
  term(): number | undefined {
    this.#endIfExpired();
    return this.#term;
  }

  /** Claims the role that the leader of the configuration shard offers under a term. True once this node holds it. */
  async acceptOffer(term: number): Promise<boolean> {
    await this.#running;
    await this.#exclusively(async () => {
      if (this.#term !== undefined || this.#resigning) return;
      if (await this.#options.reachesMajority()) await this.#claim(term);
      else this.#options.counters.add('controller.offerDeclined');
    });
    return this.#term === term;
  }

  /** Before this node ends: releases the role, and hands the balances to the successor. */
  async resign(): Promise<void> {
    this.#resigning = true;
    await this.#running;
    await this.#release();
  }

  /** Takes the balances of the last holder and claims the role under the next term. False if the handover is too old or a repeat. */
  async acceptHandover(handover: RoleHandover): Promise<boolean> {
    const knownTerm = this.#options.knownHolder()?.term ?? 0;
    if (this.#term !== undefined || this.#resigning || !this.#handover.accept(handover, knownTerm)) {
      this.#options.counters.add('controller.handoverRefused');
      return false;
    }
    const nextTerm = handover.term + 1;
    await this.#running;
    await this.#exclusively(async () => {
      if (this.#term === undefined) await this.#claim(nextTerm);
    });
    return this.#term === nextTerm;
  }

  /** Ends the timers and the work of the role, without releasing it: the lease lapses at the grantor. */
  close(): void {
    for (const stop of this.#stops) stop();
    this.#end();
  }

  /** Runs one step at a time, so that no claim is made twice; a step that comes meanwhile is dropped and waits for the one running. */
  #exclusively(step: () => Promise<void>): Promise<void> {
    this.#running ??= step().finally(() => {
      this.#running = undefined;
    });
    return this.#running;
  }

  async #renewOrReclaim(): Promise<void> {
    if (this.#term !== undefined) return this.#renew(this.#term);
    const { knownHolder, membership } = this.#options;
    const known = knownHolder();
    // A restarted process need not wait for its own earlier lease to expire. Only once, since each claim extends the lease.
    if (this.#reclaimed || this.#resigning || known?.holder !== membership.name) return;
    this.#reclaimed = true;
    await this.#claim(known.term + 1);
  }

  async #claim(term: number): Promise<void> {
    // The lease counts from before the claim was sent, so that it ends no later here than at the grantor.
    const startMs = this.#options.clock.nowMs();
    if (await this.#client.claim(term)) this.#begin(term, startMs);
  }

  #begin(term: number, renewedMs: number): void {
    const { counters, log, role, acquired } = this.#options;
    this.#reclaimed = true;
    this.#term = term;
    this.#renewedMs = renewedMs;
    counters.add('controller.rolesTaken');
    log.info(`takes the role ${role} under epoch ${term}`);
    const { balances, refused } = this.#handover.take(term);
    if (refused) counters.add('controller.handoverRefused');
    acquired(term, balances);
  }

  async #renew(term: number): Promise<void> {
    const startMs = this.#options.clock.nowMs();
    const renewed = await this.#client.renew(term);
    if (renewed === true) this.#renewedMs = startMs;
    else if (renewed === false) this.#end();
  }

  /** Ends the work, has the release recorded by the grantor, and only then sends the balances: nothing is granted after them. */
  async #release(): Promise<void> {
    const { role, counters, membership, sendHandover } = this.#options;
    const term = this.#term;
    const balances = this.#end();
    if (term === undefined) return;
    const released = await this.#client.release(term);
    if (released !== true || balances === undefined) return;
    const successor = successorOf(role, membership);
    if (successor === undefined) return;
    await sendHandover(successor.address, { role, term, balances }).then(
      () => counters.add('controller.handedOver'),
      () => counters.add('controller.handoverLost'),
    );
  }

  /** A lease that expired, or a later term that became known, ends the work: its state in memory is no longer the fleet's. */
  #endIfExpired(): void {
    if (this.#term === undefined) return;
    const { clock, failureTimeoutMs, knownHolder } = this.#options;
    const expired = clock.nowMs() - this.#renewedMs > RoleLeaseHolder.leaseMs(failureTimeoutMs);
    if (expired || (knownHolder()?.term ?? 0) > this.#term) this.#end();
  }

  #end(): Balances | undefined {
    if (this.#term === undefined) return undefined;
    this.#options.log.info(`lets go of the role ${this.#options.role}`);
    this.#term = undefined;
    return this.#options.lost();
  }
}
