/** A fixed-seed run whose history is digested. */
export interface DigestCase {
  /** Printed for the reader; cases are compared by their position. */
  readonly name: string;
  readonly run: () => Promise<readonly object[]>;
}
