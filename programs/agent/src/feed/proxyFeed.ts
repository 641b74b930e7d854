import type { Address } from '@pewterlanding/model';
import type { Membership, Update } from '@pewterlanding/membership';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { agentCalls } from '../calls/index.js';
import type { ProxyStatus } from '../calls/index.js';

interface ProxyFeedOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly proxy: Address;
  readonly heartbeatMs: number;
  readonly counters: Counters;
  readonly log: Log;
  /** Called after each successful feed; `heartbeat` for the first one of a heartbeat. */
  readonly onStatus: (status: ProxyStatus, heartbeat: boolean) => void;
}

/** Least time between two feeds of deferred updates, in heartbeats. */
const deferredFeedHeartbeats = 1 / 4;
/** Timeout of a feed, in heartbeats. */
const feedTimeoutHeartbeats = 4;

/** Keeps the proxy's copy of the shared state up to date: sends it updates, or everything when its copy differs. One feed at a time. */
export class ProxyFeed {
  readonly #options: ProxyFeedOptions;
  #pending: Update[] = [];
  #feeding = false;
  #fedMs = Number.NEGATIVE_INFINITY;
  #cancelDeferred: (() => void) | undefined;
  #proxyHeard = false;
  #instance = '';
  /** Whether the next feed sends the whole state. */
  #whole = true;

  constructor(options: ProxyFeedOptions) {
    this.#options = options;
  }

  /** Whether the last feed was answered. */
  get proxyHeard(): boolean {
    return this.#proxyHeard;
  }

  /** Sends an update together with all others that came in the same message. */
  add(update: Update): void {
    this.#pending.push(update);
    void Promise.resolve().then(() => this.#feed(false));
  }

  /** Sends an update with the next feed, at most a quarter of a heartbeat after the last one. */
  addDeferred(update: Update): void {
    this.#pending.push(update);
    const { clock, heartbeatMs } = this.#options;
    const waitMs = Math.max(0, this.#fedMs + heartbeatMs * deferredFeedHeartbeats - clock.nowMs());
    this.#cancelDeferred ??= clock.after(waitMs, () => {
      this.#cancelDeferred = undefined;
      void this.#feedPending();
    });
  }

  /** Sends updates at once. */
  async deliver(updates: readonly Update[]): Promise<void> {
    this.#pending.push(...updates);
    await this.#feedPending();
  }

  /** Feeds what is pending, if only to hear the proxy. */
  heartbeat(): Promise<void> {
    return this.#feed(true);
  }

  close(): void {
    this.#cancelDeferred?.();
  }

  async #feedPending(): Promise<void> {
    if (this.#pending.length > 0) await this.#feed(false);
  }

  async #feed(heartbeat: boolean): Promise<void> {
    // What comes in during a feed goes with the next round of its loop.
    if (this.#feeding) return;
    this.#feeding = true;
    let unconfirmed: readonly Update[] = [];
    try {
      let first = true;
      do {
        const whole = this.#whole;
        const updates = whole ? [...this.#options.membership.stateTable.withPrefix('')] : this.#pending;
        this.#pending = [];
        unconfirmed = updates;
        const status = await this.#feedOnce(whole, updates);
        this.#options.onStatus(status, heartbeat && first);
        first = false;
      } while (this.#pending.length > 0);
    } catch {
      this.#feedFailed(unconfirmed);
    } finally {
      this.#feeding = false;
    }
  }

  async #feedOnce(whole: boolean, updates: readonly Update[]): Promise<ProxyStatus> {
    const { membership, transport, clock, proxy, heartbeatMs, counters, log } = this.#options;
    counters.add('agent.feeds');
    this.#fedMs = clock.nowMs();
    const body = { whole, updates: [...updates] };
    const status = await transport.ask(proxy, agentCalls.feed, body, heartbeatMs * feedTimeoutHeartbeats);
    if (!this.#proxyHeard) log.info('the proxy beside is heard');
    this.#proxyHeard = true;
    // A proxy that restarted, or whose copy differs although nothing is pending, gets everything again.
    const differs = this.#pending.length === 0 && status.checksum !== membership.stateTable.checksum;
    this.#whole = status.instance !== this.#instance || differs;
    this.#instance = status.instance;
    return status;
  }

  #feedFailed(unconfirmed: readonly Update[]): void {
    this.#options.counters.add('agent.feedFailed');
    if (this.#proxyHeard) this.#options.log.warn('the proxy beside is silent');
    // After one failure only the unconfirmed updates are sent again: the whole state costs most when both sides have least time.
    this.#whole ||= !this.#proxyHeard;
    if (!this.#whole) this.#pending = [...unconfirmed, ...this.#pending];
    this.#proxyHeard = false;
  }
}
