/** What a command prints, and its exit code. */
export interface CommandReturn {
  readonly code: number;
  /** For people. */
  readonly text: string;
  /** For scripts: mostly what the controller answered. */
  readonly json: unknown;
}
