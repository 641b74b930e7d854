/** What a run of the selection model measured. */
export interface SelectionOutcome {
  readonly live: number;
  readonly liveLate: number;
  readonly liveRefused: number;
  readonly liveP99Ms: number;
  readonly documents: number;
  readonly documentsLate: number;
  readonly tokensReadAgain: number;
  readonly items: number;
  readonly itemsLate: number;
  readonly connectionsOpened: number;
}
