import type { RegisterContent } from './registerContent.js';

/** The configuration register as one that never fails would hold it. */
export interface RegisterState {
  readonly version: number;
  readonly content: RegisterContent;
  /** The numbers and tokens of the orders that were put in force, so that a repeat is known. */
  readonly taken: readonly string[];
}
