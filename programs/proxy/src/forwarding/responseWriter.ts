/** Writes the response to one opaque request. */
export interface ResponseWriter {
  /** Status, reason phrase and flat headers; they may be sent together with the first bytes of the body. */
  readonly head: (status: number, reason: string, headers: readonly string[]) => void;
  /** False when the client reads more slowly than this; `drained` then calls back when to go on. */
  readonly write: (chunk: Buffer) => boolean;
  readonly drained: (run: () => void) => void;
  readonly end: (chunk?: Buffer) => void;
  /** Closes the connection early, so that the client takes nothing for a complete response. */
  readonly destroy: () => void;
}
