import type { Route, RouteName, ServiceName } from '@pewterlanding/model';

/** A route of the table. */
export interface RouteMatch {
  readonly name: RouteName;
  readonly route: Route;
  /** The service that a draw in [0, 1) selects by weight; undefined if no service of the route has a weight. */
  readonly service: (draw: number) => ServiceName | undefined;
}
