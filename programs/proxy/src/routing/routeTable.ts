import { entriesOf } from '@pewterlanding/model';
import type { Route, ServiceName, Configuration } from '@pewterlanding/model';
import type { RouteMatch } from './routeMatch.js';

interface HostRoutes {
  readonly byPrefix: ReadonlyMap<string, RouteMatch>;
  /** Lengths of the prefixes: a match can end only at a slash of the path at one of them. */
  readonly lengths: ReadonlySet<number>;
  readonly longest: number;
}

/** Routes of one configuration by host and path prefix. The cost of a search depends on the path, not on the number of routes. */
export class RouteTable {
  readonly #hosts: ReadonlyMap<string, HostRoutes>;

  constructor(configuration: Configuration | undefined) {
    const hosts = new Map<string, Map<string, RouteMatch>>();
    const routes = configuration === undefined ? [] : entriesOf(configuration.routes);
    for (const [name, route] of routes) {
      const byPrefix = hosts.get(route.host) ?? new Map<string, RouteMatch>();
      hosts.set(route.host, byPrefix);
      byPrefix.set(route.prefix, { name, route, service: weightedChoice(route) });
    }
    this.#hosts = new Map(
      [...hosts].map(([host, byPrefix]) => {
        const lengths = new Set([...byPrefix.keys()].map((prefix) => prefix.length));
        return [host, { byPrefix, lengths, longest: Math.max(...lengths) }];
      }),
    );
  }

  /** The route with the longest prefix of the path among those of the host; undefined if none matches. */
  find(host: string, url: string): RouteMatch | undefined {
    const hostRoutes = this.#hosts.get(bareHost(host));
    if (hostRoutes === undefined) return undefined;
    const path = pathOf(url);
    let slash = path.lastIndexOf('/', hostRoutes.longest - 1);
    while (slash >= 0) {
      const length = slash + 1;
      const match = hostRoutes.lengths.has(length) ? hostRoutes.byPrefix.get(path.slice(0, length)) : undefined;
      if (match !== undefined) return match;
      // A negative start would be taken as 0 and find the first slash again.
      slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
    }
    return undefined;
  }
}

function pathOf(url: string): string {
  const query = url.indexOf('?');
  return query < 0 ? url : url.slice(0, query);
}

/** The host in lower case, without its port. */
function bareHost(host: string): string {
  const name = /^(\[[^\]]*\]|[^:]*)(:\d*)?$/.exec(host);
  return (name?.[1] ?? host).toLowerCase();
}

/** Selects among the services of a route by their weights. */
function weightedChoice({ services }: Route): (draw: number) => ServiceName | undefined {
  const weighted = services.filter(({ weight }) => weight > 0);
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  return (draw) => {
    let remaining = draw * total;
    for (const { service, weight } of weighted) {
      remaining -= weight;
      if (remaining < 0) return service;
    }
    // Rounding may leave a remainder.
    return weighted.at(-1)?.service;
  };
}
