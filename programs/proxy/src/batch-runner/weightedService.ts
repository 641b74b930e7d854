import type { Route, ServiceName } from '@pewterlanding/model';

/** Draws one of a route's services by weight. Undefined when none has a weight above 0. */
export function weightedService({ services }: Route, random: () => number): ServiceName | undefined {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let left = random() * total;
  for (const { service, weight } of services) {
    left -= weight;
    if (weight > 0 && left < 0) return service;
  }
  // Rounding may leave a rest above 0.
  return services.findLast(({ weight }) => weight > 0)?.service;
}
