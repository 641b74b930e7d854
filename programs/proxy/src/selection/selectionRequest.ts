import type { ServiceName } from '@pewterlanding/model';

/** What the selection of a replica depends on, for one request. */
export interface SelectionRequest {
  readonly service: ServiceName;
  readonly kind: 'live' | 'batch';
  /** 0 to 9; 0 is served first. */
  readonly urgency: number;
  /** Among equally urgent batch items the one with the earliest deadline is served first. */
  readonly dueAtMs?: number;
  /** Model name; undefined where any model of the service will do. */
  readonly model: string | undefined;
  readonly promptTokens: number;
  /** Upper bound of the output tokens. */
  readonly outputTokens: number;
  /** Ids of the prompt parts shared with other requests, in order, joined to one text: the affinity key. */
  readonly shared: string;
  readonly sharedTokens: number;
  /** Keys of replicas that earlier attempts were sent to. */
  readonly without: ReadonlySet<string>;
}
