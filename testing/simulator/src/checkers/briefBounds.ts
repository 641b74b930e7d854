import type { CheckerBounds } from './checkerBounds.js';

/** The bounds as the brief states them; "about" is given a tenth and a half. */
export const briefBounds: CheckerBounds = {
  aboutTwoMs: 2300,
  batchReadableMs: 1000,
  takeoverMs: 2500,
  batchEndedMs: 3000,
  recoveryMs: 12_000,
  shares: new Map(),
  bytesPerToken: 4,
};
