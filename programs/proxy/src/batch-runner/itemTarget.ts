import type { Configuration, Route, ServiceName } from '@pewterlanding/model';

/** Where an opaque item is sent under one version of the configuration. */
export interface ItemTarget {
  readonly configuration: Configuration;
  readonly version: number;
  readonly route: Route;
  readonly service: ServiceName;
}
