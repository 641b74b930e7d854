/** The content of a journal when it was opened. */
export interface JournalRead {
  readonly records: readonly unknown[];
  /** Whether the last record was incomplete and was truncated, as after a crash. */
  readonly torn: boolean;
  /** Whether a record before the last is corrupt; `records` is empty then, since none can be trusted. */
  readonly damaged: boolean;
}
