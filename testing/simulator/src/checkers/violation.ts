/** What a checker holds against a history. */
export interface Violation {
  readonly atMs: number;
  readonly what: string;
}
