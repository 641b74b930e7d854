/** A request as it is sent to a replica. */
export interface UpstreamRequest {
  /** Never empty: a response that does not echo it belongs to another request. */
  readonly id: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Flat: names and values. */
  readonly headers: string[];
  readonly body: Buffer;
}
