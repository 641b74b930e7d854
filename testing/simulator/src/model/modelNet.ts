import { SimNet } from '../network/index.js';
import type { SimTime } from '../engine/index.js';
import { ReplyAddresses } from './replyAddresses.js';

type Sent = Parameters<SimNet['send']>;

/**
 * The simulator's network, which besides losing messages delivers some twice and some late, out of their order. What is sent to a
 * process that has ended meanwhile is lost with its connection.
 */
export class ModelNet extends SimNet {
  readonly #time: SimTime;
  readonly #random: () => number;
  readonly #replies = new ReplyAddresses();
  doubleRatio = 0;
  lateRatio = 0;
  /** The most by which a late message is late. */
  lateMs = 0;

  constructor(time: SimTime, random: () => number) {
    super(time, random);
    this.#time = time;
    this.#random = random;
  }

  override listen(...[address, listener]: Parameters<SimNet['listen']>): void {
    this.#replies.listen(address, listener.instance);
    super.listen(address, listener);
  }

  override send(...[from, to, bytes, undelivered]: Sent): void {
    const end = this.#replies.end(to);
    const sender = { machine: from.machine, address: this.#replies.of(from.address) };
    const deliver = (): void => {
      // Where nobody is left at an answered process's end there is no connection to send on.
      if (end === undefined || this.#replies.end(end.address)?.instance === end.instance)
        super.send(sender, end?.address ?? to, bytes, undelivered);
    };
    if (this.#random() < this.lateRatio) this.#time.after(this.#random() * this.lateMs, deliver);
    else deliver();
    if (this.#random() < this.doubleRatio) this.#time.after(this.#random() * this.lateMs, deliver);
  }

  override heal(): void {
    super.heal();
    this.doubleRatio = 0;
    this.lateRatio = 0;
  }
}
