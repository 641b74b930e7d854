import type { Address } from '@pewterlanding/model';
import type { Membership } from '@pewterlanding/membership';
import { every } from '@pewterlanding/runtime';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { agentCalls } from './calls/index.js';
import type { ProxyStatus } from './calls/index.js';
import { ProxyFeed } from './feed/index.js';
import { ControllerRelay } from './relay/index.js';
import { FreshnessRequester, JoiningPhase, ProxyStatusReporter } from './reports/index.js';
import { updateKeys } from './sharedState/index.js';
import type { SingletonRole } from './sharedState/index.js';

interface AgentOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  readonly transport: Transport;
  /** The proxy on the same machine. */
  readonly proxy: Address;
  readonly heartbeatMs: number;
  readonly counters: Counters;
  readonly log: Log;
}

/**
 * The sidecar of a proxy: takes part in the membership for it, feeds it the shared state, reports its status to the fleet,
 * and relays its calls to the controllers.
 */
export class Agent {
  readonly #membership: Membership;
  readonly #feed: ProxyFeed;
  readonly #reporter: ProxyStatusReporter;
  readonly #freshness: FreshnessRequester;
  readonly #relay: ControllerRelay;
  readonly #stop: () => void;
  #left = false;

  constructor(options: AgentOptions) {
    this.#membership = options.membership;
    const joining = new JoiningPhase(options.membership);
    this.#reporter = new ProxyStatusReporter({ ...options, joining });
    this.#feed = new ProxyFeed({ ...options, onStatus: (status, heartbeat) => this.#onStatus(status, heartbeat) });
    this.#freshness = new FreshnessRequester({ ...options, joining, deliver: (updates) => this.#feed.deliver(updates) });
    this.#relay = new ControllerRelay(options);
    this.#forwardUpdates();
    this.#serveProxy(options.transport);
    this.#relay.serve();
    this.#stop = every(options.clock, options.heartbeatMs, () => this.#feed.heartbeat());
  }

  /** True once the proxy said that it has finished. */
  get left(): boolean {
    return this.#left;
  }

  /** True while the proxy answers its feeds. */
  get proxyHeard(): boolean {
    return this.#feed.proxyHeard;
  }

  /** Who holds the dispatcher role, as far as this node knows. */
  singletonRole(): SingletonRole | undefined {
    return this.#relay.singletonRole();
  }

  close(): void {
    this.#stop();
    this.#feed.close();
    this.#membership.close();
  }

  #forwardUpdates(): void {
    const ownInFlight = updateKeys.use(this.#membership.name);
    this.#membership.onUpdate((update, sent) => {
      // The proxy itself reported these.
      if (update.key === ownInFlight) return;
      // The in-flight counts of other fronts change all the time, the more the larger the fleet: they are sent together.
      if (update.key.startsWith(updateKeys.uses)) this.#feed.addDeferred(sent);
      else this.#feed.add(sent);
    });
  }

  #serveProxy(transport: Transport): void {
    transport.serve(agentCalls.tell, async ({ updates }) => {
      for (const update of updates) this.#membership.put(update);
      return {};
    });
    transport.serve(agentCalls.leave, async () => {
      this.#left = true;
      this.#membership.leave();
      return {};
    });
  }

  #onStatus(status: ProxyStatus, heartbeat: boolean): void {
    if (!heartbeat) {
      this.#reporter.onFeed(status);
      return;
    }
    this.#reporter.onHeartbeat(status);
    void this.#freshness.onHeartbeat(status);
  }
}
