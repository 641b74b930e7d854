import { entriesOf } from '@pewterlanding/model';
import type { Route, RouteName, Service, ServiceName, Configuration } from '@pewterlanding/model';

/** A setup as fronts need it: operators' own words are only ever read back, and would double what travels and what fronts hold. */
export function withoutSourceDocuments({ sourceDocument: _words, ...configuration }: Configuration): Configuration {
  const routes: Record<RouteName, Route> = {};
  for (const [name, { sourceDocument: _own, ...route }] of entriesOf(configuration.routes)) routes[name] = route;
  const services: Record<ServiceName, Service> = {};
  for (const [name, { sourceDocument: _own, ...service }] of entriesOf(configuration.services)) services[name] = service;
  return { ...configuration, routes, services };
}
