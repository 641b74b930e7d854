import { simService } from './simService.js';

interface SimConfigurationOptions {
  readonly stores: number;
  readonly fronts: number;
  readonly hosts: readonly string[];
  readonly requestsPerMinute: number;
  readonly freshnessMs: number;
  /** Controllers and stores are not listed: they join. */
  readonly joining?: boolean;
}

/** The configuration that simulated fleets run under: five services, four quotas; nothing of `ghost`. */
export function simConfiguration(options: SimConfigurationOptions): Record<string, unknown> {
  const zones = ['a', 'b', 'c'];
  const machines = (kind: string, net: number, count: number, from: number): Record<string, unknown> =>
    Object.fromEntries(
      Array.from({ length: count }, (_, at) => [
        `${kind}-${at + 1}`,
        { address: `127.0.${net}.${at + 1}:7000`, zone: zones[(at + from) % 3] },
      ]),
    );
  const service = (kind: string, idempotent: boolean, rest: Record<string, unknown>): Record<string, unknown> => ({
    ...simService(kind, idempotent, options.hosts),
    ...rest,
  });
  return {
    ceiling: { requests: options.requestsPerMinute, tokens: options.requestsPerMinute * 400 },
    bounds: { fronts: options.fronts, freshnessMs: options.freshnessMs },
    services: {
      ask: service('streamed', true, { runMs: 8000 }),
      book: service('whole', false, { runMs: 4000 }),
      tag: service('streamed', true, { runMs: 8000 }),
      sheet: service('whole', false, { runMs: 8000 }),
      memo: service('whole', true, { runMs: 4000 }),
    },
    quotas: { live: { share: 0.55 }, guest: { share: 0.05, lends: false }, north: { share: 0.25 }, south: { share: 0.15 } },
    ...(options.joining === true
      ? { joining: true }
      : { controllers: machines('core', 20, 3, 0), stores: machines('store', 30, options.stores, 0) }),
    batchShards: 3,
    serviceShards: 1,
  };
}
