/** The downstream's side of one task. */
export interface ResponseWriter {
  /** Status, reason and flat headers; they may leave with the first bytes. */
  readonly head: (status: number, reason: string, headers: readonly string[]) => void;
  /** False when the downstream reads slower than this; then `drained` tells when to go on. */
  readonly write: (chunk: Buffer) => boolean;
  readonly drained: (run: () => void) => void;
  readonly end: (chunk?: Buffer) => void;
  /** Breaks the circuit, so that nobody takes what was sent for a whole return. */
  readonly destroy: () => void;
}
