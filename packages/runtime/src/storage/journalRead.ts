/** What a journal held when it was opened. `damaged` means bad bytes before the tail: nothing in it may be trusted. */
export interface JournalRead {
  readonly records: readonly unknown[];
  readonly torn: boolean;
  readonly damaged: boolean;
}
