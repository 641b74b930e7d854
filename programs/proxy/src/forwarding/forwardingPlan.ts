import type { Route, Service, ServiceName } from '@pewterlanding/model';
import type { SelectionRequest } from '../selection/index.js';

/** What one opaque request is forwarded by, fixed on arrival. */
export interface ForwardingPlan {
  readonly kind: 'forward';
  /** The request's id. */
  readonly id: string;
  readonly service: ServiceName;
  readonly rule: Service;
  readonly route: Route;
  /** Whether it may run twice: idempotent, or a stream that can be resumed. */
  readonly isIdempotent: boolean;
  readonly isStreamed: boolean;
  /** Time that the client waits, bounded by the route. */
  readonly holdMs: number;
  /** The deadline. */
  readonly untilMs: number;
  /** Latency target of the route, or else `holdMs`. */
  readonly latencyMs: number;
  /** Last event that the client of a resumable stream has already. */
  readonly resumeAfter: number | undefined;
  readonly selection: Omit<SelectionRequest, 'without'>;
  /** Retries that the request earns the retry budget. */
  readonly retryRatio: number;
}
