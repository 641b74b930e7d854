/** An opaque request as the client sent it; the proxy does not read its body. */
export interface ProxiedRequest {
  readonly method: string;
  readonly host: string;
  /** Path and query, as sent. */
  readonly url: string;
  /** Flat: names and values, as sent. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}
