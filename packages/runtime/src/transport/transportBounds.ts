/** Limits of a transport's connections. */
export interface TransportBounds {
  /** Payload of one frame, in bytes. */
  readonly maxFrameBytes: number;
  /** Bytes queued for a remote side that reads too slowly; beyond them its connection is closed. */
  readonly maxQueueBytes: number;
  /** Time limit of connecting, and the silence after which a connection with unanswered requests is abandoned, in milliseconds. */
  readonly dialMs: number;
}
