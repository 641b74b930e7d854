/** A deployment and its load, for the selection model. All rates are those of the whole fleet. */
export interface SelectionWorkload {
  readonly seed: number;
  readonly seconds: number;
  readonly fronts: number;
  readonly zones: number;
  readonly replicas: number;
  readonly slotsOfReplica: number;
  readonly memoryTokens: number;
  readonly promptTokensPerMs: number;
  /** Latency target of live requests, to the first event. */
  readonly targetMs: number;
  readonly live: RequestRate;
  /** Live requests that share long documents. */
  readonly documents: RequestRate & { readonly count: number; readonly sharedTokens: number };
  readonly batches: { readonly perS: number; readonly items: number; readonly runMs: number; readonly dueMs: number };
  /** Many more batches for a while. */
  readonly crowd: { readonly fromS: number; readonly forS: number; readonly factor: number } | undefined;
  /** Items that may wait; batches that do not fit are refused. */
  readonly maxWaitingItems: number;
  /** Time between two reports of one front to the others, and until they are received. */
  readonly reportMs: number;
  readonly reportDelayMs: number;
  /** How long a connection to a replica may lie idle. */
  readonly idleMs: number;
  /** Whether batch items leave live requests room for fluctuations, or only the live reserve. */
  readonly isStaffed: boolean;
  /** Whether the selector is told which connections are idle. */
  readonly knowsConnections: boolean;
}

interface RequestRate {
  readonly perS: number;
  readonly promptTokens: number;
  readonly runMs: number;
}
