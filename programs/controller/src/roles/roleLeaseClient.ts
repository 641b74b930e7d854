import type { LeaderFinder } from '@pewterlanding/consensus';
import type { Membership } from '@pewterlanding/membership';
import { controllerCalls } from '../controllerCalls.js';
import { configurationShardName } from '../placement/index.js';

interface RoleLeaseClientOptions {
  readonly role: string;
  readonly membership: Membership;
  readonly finder: LeaderFinder;
  readonly failureTimeoutMs: number;
}

/** Asks the leader of the configuration shard, which grants the leases of singleton roles. */
export class RoleLeaseClient {
  readonly #options: RoleLeaseClientOptions;

  constructor(options: RoleLeaseClientOptions) {
    this.#options = options;
  }

  /** Whether the role was granted to this node under a term. False also without an answer: the lease then lapses unused. */
  async claim(term: number): Promise<boolean> {
    const { finder, role, failureTimeoutMs, membership } = this.#options;
    const holder = membership.name;
    const address = membership.nodeRecord(holder)?.address;
    if (address === undefined) return false;
    const body = { role, claim: { holder, address, term } };
    const response = await finder.ask(configurationShardName, controllerCalls.claimRole, body, failureTimeoutMs).catch(() => undefined);
    return response?.held?.holder === holder && response.held.term === term;
  }

  /** Whether a term is the last one granted, in which case its lease was renewed; undefined without an answer. */
  renew(term: number): Promise<boolean | undefined> {
    return this.#renewOrRelease(term, false);
  }

  /** Whether a term was the last one granted, in which case its lease was released; undefined without an answer. */
  release(term: number): Promise<boolean | undefined> {
    return this.#renewOrRelease(term, true);
  }

  async #renewOrRelease(term: number, release: boolean): Promise<boolean | undefined> {
    const { finder, role, failureTimeoutMs } = this.#options;
    const body = { role, term, release };
    const response = await finder.ask(configurationShardName, controllerCalls.renewRole, body, failureTimeoutMs).catch(() => undefined);
    return response?.held;
  }
}
