/** What a caller was told, for the history. */
export interface ToldRecord {
  readonly key: string;
  readonly service: string;
  readonly front: string;
  readonly sentMs: number;
  readonly atMs: number;
  readonly firstPieceMs?: number;
  readonly outcome: 'returned' | 'refused' | 'failed' | 'cut' | 'lost';
  readonly status: number;
  /** What a stream showed, in the order it came. */
  readonly pieces?: readonly { readonly run: string; readonly number: number; readonly of: number }[];
  /** For what was returned as a success: whether it is the replica's whole, genuine return to this task. */
  readonly wrong?: string;
}
