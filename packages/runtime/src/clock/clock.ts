/** Time as the domain sees it. `nowMs` never goes back and says nothing about the date; `wallMs` is the date. */
export interface Clock {
  nowMs(): number;
  wallMs(): number;
  /** Runs `run` once after `waitMs`; the function returned cancels it. */
  after(waitMs: number, run: () => void): () => void;
}
