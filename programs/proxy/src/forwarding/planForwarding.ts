import { hashOf } from '@pewterlanding/model';
import type { Configuration, ServiceName } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import { headerOf } from '../headers/index.js';
import type { HeaderNames } from '../headers/index.js';
import type { RouteMatch } from '../routing/index.js';
import { selectionRequestOf } from '../selection/index.js';
import type { RoutingState } from '../updates/routingState.js';
import type { ForwardingPlan } from './forwardingPlan.js';
import type { ProxiedRequest } from './proxiedRequest.js';
import type { Refusal } from './refusal.js';

interface PlanForwardingOptions {
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly headerNames: HeaderNames;
}

interface Resolved {
  readonly kind: 'resolved';
  readonly configuration: Configuration;
  readonly routeMatch: RouteMatch;
  readonly id: string;
  readonly service: ServiceName;
}

/** Retry-after time while no configuration or service is known. */
const notReadyRetryMs = 500;
/** Timers take no longer times. */
const maxTimeoutMs = 86_400_000;
/** `hashOf` gives 48 bits. */
const hashRange = 2 ** 48;
const eventIdPattern = /^\d{1,15}$/;

/** Matches the route and service of an opaque request and reads its deadline; a refusal when it cannot be forwarded. */
export function planForwarding(options: PlanForwardingOptions, request: ProxiedRequest): ForwardingPlan | Refusal {
  const { clock, headerNames } = options;
  const arrivedMs = clock.nowMs();
  const resolved = resolve(options, request);
  if (resolved.kind === 'refused') return resolved;
  const { configuration, routeMatch, id, service } = resolved;
  const { route } = routeMatch;
  const rule = configuration.services[service];
  if (rule === undefined) return noService;
  const clientMs = Number(headerOf(request.headers, headerNames.expiryMs) ?? Number.NaN);
  const holdMs = Math.min(clientMs >= 0 ? clientMs : rule.runMs, route.timeoutMs ?? maxTimeoutMs);
  const isStreamed = route.kind === 'streamed';
  return {
    kind: 'forward',
    id,
    service,
    rule,
    route,
    isIdempotent: route.idempotent || (isStreamed && route.resumable),
    isStreamed,
    holdMs,
    untilMs: arrivedMs + holdMs,
    latencyMs: route.latencyTargetMs ?? holdMs,
    resumeAfter: route.resumable ? resumeAfterOf(request, headerNames) : undefined,
    selection: selectionRequestOf(headerNames, request.headers, service, route.urgency),
    retryRatio: configuration.bounds.retryRatio,
  };
}

const noService: Refusal = { kind: 'refused', status: 503, error: 'no service', retryAfterMs: notReadyRetryMs };

function resolve({ routingState, headerNames }: PlanForwardingOptions, request: ProxiedRequest): Resolved | Refusal {
  const { configuration, routeTable } = routingState.tables;
  if (configuration === undefined || !routingState.isFresh())
    return { kind: 'refused', status: 503, error: 'this proxy is not ready', retryAfterMs: notReadyRetryMs };
  const routeMatch = routeTable.find(request.host, request.url);
  if (routeMatch === undefined) return { kind: 'refused', status: 404, error: 'no route' };
  const id = headerOf(request.headers, headerNames.task) ?? '';
  // Without an id a response cannot be told from another request's, and replicas do not run the request.
  if (id === '') return { kind: 'refused', status: 400, error: 'no request id' };
  // Retries by the client fall on the same service at every proxy.
  const service = routeMatch.service(hashOf(id) / hashRange);
  if (service === undefined) return noService;
  return { kind: 'resolved', configuration, routeMatch, id, service };
}

function resumeAfterOf(request: ProxiedRequest, headerNames: HeaderNames): number | undefined {
  const id = headerOf(request.headers, headerNames.resumeAfter);
  return id !== undefined && eventIdPattern.test(id) ? Number(id) : undefined;
}
