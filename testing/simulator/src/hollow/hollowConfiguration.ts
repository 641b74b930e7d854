import type { HollowPlace } from './hollowPlace.js';

/** A configuration for a hollow fleet: one service, its controllers and its first stores. */
export function hollowConfiguration(places: readonly HollowPlace[], outputTokens: number): Record<string, unknown> {
  const placed = (role: HollowPlace['role']): Record<string, unknown> =>
    Object.fromEntries(
      places.filter((place) => place.role === role).map((place) => [place.name, { address: place.address, zone: place.zone }]),
    );
  return {
    ceiling: { requests: 60_000, tokens: 60_000_000 },
    bounds: { fronts: places.filter((place) => place.role === 'agent').length },
    services: { m: { kind: 'streamed', idempotent: true, replicas: { maxSlots: 16 }, outputTokens } },
    quotas: { all: { share: 1 } },
    controllers: placed('controller'),
    stores: placed('store'),
    batchShards: 4,
    copies: places.length < 20 ? 1 : 3,
  };
}
