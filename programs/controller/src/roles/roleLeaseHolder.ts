import type { Address } from '@pewterlanding/model';
import type { Clock, Counters, Log } from '@pewterlanding/runtime';
import { every } from '@pewterlanding/runtime';
import type { LeaderFinder } from '@pewterlanding/consensus';
import type { SingletonRole } from '@pewterlanding/agent';
import { roleOrder } from '@pewterlanding/membership';
import type { Membership } from '@pewterlanding/membership';
import type { Balances } from '@pewterlanding/rate-limit';
import { controllerCalls } from '../controllerCalls.js';
import type { RoleHandover } from './roleHandover.js';

interface RoleLeaseHolderOptions {
  readonly role: string;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly finder: LeaderFinder;
  readonly failureTimeoutMs: number;
  readonly counters: Counters;
  readonly log: Log;
  /** The holder as news have it. */
  readonly held: () => SingletonRole | undefined;
  /** Whether a majority of the configuration shard answers this node now. */
  readonly reachesMajority: () => Promise<boolean>;
  /** `balances` are what the holder of the epoch before handed over, if it did. */
  readonly begin: (term: number, balances: Balances | undefined) => void;
  /** Stops granting, and says what was left. */
  readonly end: () => Balances | undefined;
  readonly hand: (to: Address, handed: RoleHandover) => Promise<unknown>;
}

/** A lease outlasts a failover of the configuration shard: the silence that starts it, and as long again for the election. */
const leaseTimeouts = 2;
const renewalsPerTimeout = 4;
const checksPerTimeout = 8;

/**
 * One node's part in a role that a single controller plays at a time. The role is claimed when the leader of the configuration
 * shard offers it, renewed with that leader, and let go by this node's own clock when no renewal came through for a lease.
 */
export class RoleLeaseHolder {
  readonly #options: RoleLeaseHolderOptions;
  readonly #stops: readonly (() => void)[];
  #term: number | undefined;
  #renewedMs = 0;
  #handed: RoleHandover | undefined;
  #leaving = false;
  /** Whether this process has claimed the role that news say it held before it began anew. */
  #resumed = false;
  #working: Promise<void> | undefined;

  constructor(options: RoleLeaseHolderOptions) {
    this.#options = options;
    this.#stops = [
      every(options.clock, options.failureTimeoutMs / renewalsPerTimeout, () => this.#alone(() => this.#tend())),
      every(options.clock, options.failureTimeoutMs / checksPerTimeout, () => this.#check()),
    ];
  }

  /** How long a holder acts on its last renewal. */
  static leaseMs(failureTimeoutMs: number): number {
    return failureTimeoutMs * leaseTimeouts;
  }

  /** The epoch under which this node may act now; asked before every act, for a frozen node must not act on what it was. */
  term(): number | undefined {
    this.#check();
    return this.#term;
  }

  /** The leader of the configuration shard offers the role under an epoch. True once this node holds it. */
  async offered(term: number): Promise<boolean> {
    await this.#working;
    await this.#alone(async () => {
      if (this.#term !== undefined || this.#leaving) return;
      if (await this.#options.reachesMajority()) await this.#claim(term);
      else this.#options.counters.add('controller.offerDeclined');
    });
    return this.#term === term;
  }

  /** Before this node ends: the role goes to the next one, with what is left. */
  async resign(): Promise<void> {
    this.#leaving = true;
    await this.#working;
    await this.#giveUp();
  }

  /** Takes what the holder before left, and the role at once. Too old, sent twice, or sent to who holds it: refused and counted. */
  async receive(handed: RoleHandover): Promise<boolean> {
    const known = this.#options.held()?.term ?? 0;
    if (this.#term !== undefined || this.#leaving || handed.term < known || this.#handed?.term === handed.term) {
      this.#options.counters.add('controller.handoverRefused');
      return false;
    }
    this.#handed = handed;
    await this.#working;
    await this.#alone(async () => {
      if (this.#term === undefined) await this.#claim(handed.term + 1);
    });
    return this.#term === handed.term + 1;
  }

  close(): void {
    for (const stop of this.#stops) stop();
    this.#stand();
  }

  /** One at a time: a claim that is under way must not be made twice. */
  #alone(work: () => Promise<void>): Promise<void> {
    this.#working ??= work().finally(() => {
      this.#working = undefined;
    });
    return this.#working;
  }

  async #tend(): Promise<void> {
    if (this.#term !== undefined) return this.#renew(this.#term);
    const { held, membership } = this.#options;
    const known = held();
    // A process that began anew need not wait for the lease of its earlier life to lapse. Only once: each claim is a lease more.
    if (this.#resumed || this.#leaving || known?.holder !== membership.name) return;
    this.#resumed = true;
    await this.#claim(known.term + 1);
  }

  async #claim(term: number): Promise<void> {
    const { finder, clock, role, failureTimeoutMs, counters, log, membership } = this.#options;
    const startMs = clock.nowMs();
    const address = membership.nodeRecord(membership.name)?.address;
    if (address === undefined) return;
    const claim = { holder: membership.name, address, term };
    const response = await finder.ask('setup', controllerCalls.claimRole, { role, claim }, failureTimeoutMs).catch(() => undefined);
    if (response?.held === undefined || response.held.holder !== membership.name || response.held.term !== term) return;
    this.#resumed = true;
    this.#term = term;
    this.#renewedMs = startMs;
    counters.add('controller.rolesTaken');
    log.info(`takes the role ${role} under epoch ${term}`);
    this.#options.begin(term, this.#balancesFor(term));
  }

  /** Only the word of the very epoch before can be proved current: nobody granted anything in between. */
  #balancesFor(term: number): Balances | undefined {
    const handed = this.#handed;
    this.#handed = undefined;
    if (handed === undefined) return undefined;
    if (handed.term === term - 1) return handed.balances;
    this.#options.counters.add('controller.handoverRefused');
    return undefined;
  }

  async #renew(term: number): Promise<void> {
    const { finder, clock, role, failureTimeoutMs } = this.#options;
    const startMs = clock.nowMs();
    const response = await finder
      .ask('setup', controllerCalls.renewRole, { role, term, release: false }, failureTimeoutMs)
      .catch(() => undefined);
    if (response?.held === true) this.#renewedMs = startMs;
    else if (response !== undefined) this.#stand();
  }

  /** Stops granting, has the release written down as this epoch's, and only then sends what is left to the next one. */
  async #giveUp(): Promise<void> {
    const { finder, role, failureTimeoutMs, counters, membership, hand } = this.#options;
    const term = this.#term;
    const balances = this.#stand();
    if (term === undefined) return;
    const response = await finder
      .ask('setup', controllerCalls.renewRole, { role, term, release: true }, failureTimeoutMs)
      .catch(() => undefined);
    if (response?.held !== true || balances === undefined) return;
    const controllers = membership.live().filter((nodeRecord) => nodeRecord.role === 'controller' && nodeRecord.name !== membership.name);
    const [next] = roleOrder(
      role,
      controllers.map((nodeRecord) => nodeRecord.name),
    );
    const to = controllers.find((nodeRecord) => nodeRecord.name === next);
    if (to === undefined) return;
    await hand(to.address, { role, term, balances }).then(
      () => counters.add('controller.handedOver'),
      () => counters.add('controller.handoverLost'),
    );
  }

  #check(): void {
    if (this.#term === undefined) return;
    const { clock, failureTimeoutMs, held } = this.#options;
    const lapsed = clock.nowMs() - this.#renewedMs > RoleLeaseHolder.leaseMs(failureTimeoutMs);
    // Lapsed or overtaken: what this node holds in memory is no longer the fleet's counter.
    if (lapsed || (held()?.term ?? 0) > this.#term) this.#stand();
  }

  #stand(): Balances | undefined {
    if (this.#term === undefined) return undefined;
    this.#options.log.info(`lets go of the role ${this.#options.role}`);
    this.#term = undefined;
    return this.#options.end();
  }
}
