import type { Route, RouteName, ServiceName } from '@pewterlanding/model';

/** A route as it is walked: its name, its rule, and the service that a draw between 0 and 1 falls on. */
export interface RouteMatch {
  readonly name: RouteName;
  readonly route: Route;
  readonly service: (draw: number) => ServiceName | undefined;
}
