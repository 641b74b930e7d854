/** A task as the downstream sent it; its bytes are nobody's business here. */
export interface ProxiedRequest {
  readonly method: string;
  readonly host: string;
  /** Path and query, as sent. */
  readonly url: string;
  /** Flat: names and values, as sent. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}
