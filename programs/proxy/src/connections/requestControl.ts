/** Control over a request that was handed to a connection. */
export interface RequestControl {
  /** Whether a byte of the request may have left. Until then the replica cannot have run it. */
  readonly begun: boolean;
  /** Destroys the connection at once; the reader gets no further calls. */
  readonly abort: () => void;
  /** Stops reading the response, so that TCP flow control slows the replica down. */
  readonly pause: () => void;
  readonly resume: () => void;
}
