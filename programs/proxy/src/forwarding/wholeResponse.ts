/** A replica's response, read to its end. */
export interface WholeResponse {
  readonly status: number;
  readonly reason: string;
  /** Flat: names and values, as they were received. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}
