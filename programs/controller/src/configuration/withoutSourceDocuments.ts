import { entriesOf } from '@pewterlanding/model';
import type { Route, RouteName, Service, ServiceName, Configuration } from '@pewterlanding/model';

/** A configuration as fronts need it. Operators' source documents are only read back; they would double what is sent and held. */
export function withoutSourceDocuments({ sourceDocument: _document, ...configuration }: Configuration): Configuration {
  const routes: Record<RouteName, Route> = {};
  for (const [name, { sourceDocument: _document, ...route }] of entriesOf(configuration.routes)) routes[name] = route;
  const services: Record<ServiceName, Service> = {};
  for (const [name, { sourceDocument: _document, ...service }] of entriesOf(configuration.services)) services[name] = service;
  return { ...configuration, routes, services };
}
