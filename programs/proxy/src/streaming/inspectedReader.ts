import type { RunEnd } from '../connections/index.js';

/** Reads and checks the body of a successful response to an inspected request. */
export interface InspectedReader {
  /** Body bytes received so far. */
  bytes: number;
  /** Takes the next bytes; returns the fault that makes the response invalid, if any. */
  feed(chunk: Buffer): string | undefined;
  /** The body is complete. */
  end(): RunEnd;
}
