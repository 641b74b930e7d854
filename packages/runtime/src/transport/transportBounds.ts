/** Bounds of the wire. The queue bound is what a slow reader may leave unread before its circuit is dropped. */
export interface TransportBounds {
  readonly maxFrameBytes: number;
  readonly maxQueueBytes: number;
  readonly dialMs: number;
}
