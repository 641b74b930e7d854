/** The brief's bounds, by which histories are judged. */
export interface CheckerBounds {
  /** After we learned of a replica's end, and after a confirmation. */
  readonly aboutTwoMs: number;
  readonly batchReadableMs: number;
  /** How long a read may wait for another leader when one just died. */
  readonly takeoverMs: number;
  readonly batchEndedMs: number;
  readonly recoveryMs: number;
  /** Branches' own shares a minute, for waiting work. */
  readonly shares: ReadonlyMap<string, { readonly requests: number; readonly tokens: number }>;
  readonly bytesPerToken: number;
  /** How long an accepted batch item may take from being handed in to its first start; undefined where a day promises nothing. */
  readonly itemStartMs?: number | undefined;
}
