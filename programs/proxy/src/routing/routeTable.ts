import { entriesOf } from '@pewterlanding/model';
import type { Route, ServiceName, Configuration } from '@pewterlanding/model';
import type { RouteMatch } from './routeMatch.js';

interface HostRoutes {
  readonly byPrefix: ReadonlyMap<string, RouteMatch>;
  /** Lengths of prefixes: only where the path has a slash at one of them can a prefix end. */
  readonly lengths: ReadonlySet<number>;
  readonly longest: number;
}

/** The routes of one setup, compiled: what one search costs depends on the path and not on the number of routes. */
export class RouteTable {
  readonly #hosts: ReadonlyMap<string, HostRoutes>;

  constructor(configuration: Configuration | undefined) {
    const hosts = new Map<string, Map<string, RouteMatch>>();
    for (const [name, route] of configuration === undefined ? [] : entriesOf(configuration.routes)) {
      const ways = hosts.get(route.host) ?? new Map<string, RouteMatch>();
      hosts.set(route.host, ways);
      ways.set(route.prefix, { name, route, service: splitOf(route) });
    }
    this.#hosts = new Map(
      [...hosts].map(([host, byPrefix]) => {
        const lengths = new Set([...byPrefix.keys()].map((prefix) => prefix.length));
        return [host, { byPrefix, lengths, longest: Math.max(...lengths) }];
      }),
    );
  }

  /** Among the routes of the host, the one with the longest prefix that begins the path. */
  find(host: string, url: string): RouteMatch | undefined {
    const hostRoutes = this.#hosts.get(bareHost(host));
    if (hostRoutes === undefined) return undefined;
    const query = url.indexOf('?');
    const path = query < 0 ? url : url.slice(0, query);
    for (let at = path.lastIndexOf('/', hostRoutes.longest - 1); at >= 0; at = at === 0 ? -1 : path.lastIndexOf('/', at - 1)) {
      if (!hostRoutes.lengths.has(at + 1)) continue;
      const routeMatch = hostRoutes.byPrefix.get(path.slice(0, at + 1));
      if (routeMatch !== undefined) return routeMatch;
    }
    return undefined;
  }
}

/** In lower case, without its port. */
function bareHost(host: string): string {
  const name = /^(\[[^\]]*\]|[^:]*)(:\d*)?$/.exec(host);
  return (name?.[1] ?? host).toLowerCase();
}

function splitOf({ services }: Route): (draw: number) => ServiceName | undefined {
  const open = services.filter(({ weight }) => weight > 0);
  const total = open.reduce((sum, { weight }) => sum + weight, 0);
  return (draw) => {
    let left = draw * total;
    return (open.find(({ weight }) => (left -= weight) < 0) ?? open.at(-1))?.service;
  };
}
