/** Receives a response synchronously as it is parsed. `end` or `failed` is the last call. */
export interface ResponseReader {
  /** Final status, reason phrase, and flat headers as they were received; 1xx responses are left out. */
  readonly head: (status: number, reason: string, headers: readonly string[]) => void;
  readonly data: (chunk: Buffer) => void;
  readonly end: () => void;
  /**
   * `sent`: bytes of the request may have left, so that the replica may have run it; `unsent`: none has; `unfit`: the request itself
   * cannot be sent over HTTP/1.1.
   */
  readonly failed: (error: Error, how: 'sent' | 'unsent' | 'unfit') => void;
}
