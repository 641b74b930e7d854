/** Cuts a stream of bytes into length-prefixed frames of bounded size. */
export class FrameReader {
  readonly #maxBytes: number;
  #held: Buffer[] = [];
  #heldBytes = 0;
  #wantBytes = -1;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Returns the payloads now complete; throws when a frame announces more than the bound. */
  push(chunk: Buffer): readonly Buffer[] {
    this.#held.push(chunk);
    this.#heldBytes += chunk.length;
    const whole: Buffer[] = [];
    for (;;) {
      if (this.#wantBytes < 0) {
        if (this.#heldBytes < 4) return whole;
        this.#wantBytes = this.#take(4).readUInt32BE(0);
        if (this.#wantBytes > this.#maxBytes) throw new RangeError(`frame of ${this.#wantBytes} bytes`);
      }
      if (this.#heldBytes < this.#wantBytes) return whole;
      whole.push(this.#take(this.#wantBytes));
      this.#wantBytes = -1;
    }
  }

  #take(lengthBytes: number): Buffer {
    const all = this.#held.length === 1 && this.#held[0] !== undefined ? this.#held[0] : Buffer.concat(this.#held);
    this.#held = all.length > lengthBytes ? [all.subarray(lengthBytes)] : [];
    this.#heldBytes = all.length - lengthBytes;
    return all.subarray(0, lengthBytes);
  }
}
