import type { StartupTimeline } from '@pewterlanding/runtime';
import type { RoutingState } from '../updates/index.js';
import type { ProxyComponents } from './proxyComponents.js';

interface ProxyStatusOptions {
  readonly routingState: RoutingState;
  readonly components: ProxyComponents;
  readonly timeline: StartupTimeline;
  readonly isLeaving: () => boolean;
}

/** What a proxy tells the platform and its operators of itself. */
export class ProxyStatus {
  readonly #options: ProxyStatusOptions;

  constructor(options: ProxyStatusOptions) {
    this.#options = options;
  }

  /** Whether the platform should send callers to this proxy, and why. */
  readiness(): { readonly ready: boolean; readonly reason: string } {
    const { routingState, isLeaving } = this.#options;
    if (isLeaving()) return { ready: false, reason: 'leaving' };
    if (routingState.tables.configuration === undefined) return { ready: false, reason: 'no configuration' };
    return routingState.isFresh() ? { ready: true, reason: 'fresh' } : { ready: false, reason: 'stale' };
  }

  /** Tasks and items in flight. */
  running(): number {
    const { forwarder, proxyHandler, runner } = this.#options.components;
    return forwarder.running + proxyHandler.running + runner.running;
  }

  /** The body of `/status`. Its field names are read by operators' tools. */
  report() {
    const { routingState, components, timeline } = this.#options;
    const { version, replicas } = routingState.tables;
    const rows = [...replicas.values()].flat();
    return {
      ...this.readiness(),
      version,
      running: this.running(),
      waiting: components.slotPool.waiting,
      alone: components.localQuota.isOnFallback,
      startup: timeline.stages(),
      replicas: rows.map(({ replica, others }) => ({ ...replica, others })),
    };
  }
}
