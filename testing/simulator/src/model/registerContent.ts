/** What of the configuration in force the model writes and reads back. */
export interface RegisterContent {
  /** The operator's number; 0 before the first configuration. */
  readonly revision: number;
  /** The token that the last replacement wrote. */
  readonly token: string;
  /** The names of the services, sorted. */
  readonly services: readonly string[];
}
