import type { Socket } from 'node:net';
import type { Link } from './link.js';

/** One direction of one relayed circuit: bytes go on as the link says, and keep their order. */
export class LinkProxy {
  readonly #from: Socket;
  readonly #to: Socket;
  readonly #link: () => Link;
  readonly #touched: () => void;
  #held: { readonly dueMs: number; readonly bytes: Buffer }[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(from: Socket, to: Socket, link: () => Link, touched: () => void) {
    this.#from = from;
    this.#to = to;
    this.#link = link;
    this.#touched = touched;
    from.on('data', (bytes: Buffer) => {
      this.#held.push({ dueMs: Date.now() + link().delayMs, bytes });
      this.pump();
    });
  }

  /** Sends what may go now. Called again whenever the link changes. */
  pump(): void {
    const link = this.#link();
    if (link.kind === 'drop') {
      this.#touched();
      this.#from.destroy();
      this.#to.destroy();
      return;
    }
    if (link.kind === 'stall') {
      this.#touched();
      this.#from.pause();
      return;
    }
    this.#from.resume();
    const now = Date.now();
    for (let first = this.#held[0]; first !== undefined && first.dueMs <= now; first = this.#held[0]) {
      this.#held.shift();
      if (link.delayMs > 0) this.#touched();
      if (!this.#to.destroyed) this.#to.write(first.bytes);
    }
    const next = this.#held[0];
    if (next === undefined || this.#timer !== undefined) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.pump();
    }, next.dueMs - now);
  }
}
