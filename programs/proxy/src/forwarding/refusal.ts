/** An error response of the proxy itself. */
export interface Refusal {
  readonly kind: 'refused';
  readonly status: number;
  readonly error: string;
  readonly retryAfterMs?: number;
}
