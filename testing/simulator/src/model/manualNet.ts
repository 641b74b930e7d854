import { createHash } from 'node:crypto';
import type { Address } from '@pewterlanding/model';
import type { Instance } from '../engine/index.js';
import { SimNet } from '../network/index.js';
import { SimTime } from '../engine/index.js';
import { ReplyAddresses } from './replyAddresses.js';

type Sent = Parameters<SimNet['send']>;
type Listener = Parameters<SimNet['listen']>[1];

interface Held {
  readonly sender: Address;
  /** Where its sender is answered. */
  readonly replyTo: Address;
  readonly bytes: Uint8Array;
  readonly undelivered: Sent[3];
  /** The process it was sent to: a later one at the same address is another end of another connection. */
  readonly instance: Instance | undefined;
  readonly to: Address;
}

/** A network that delivers nothing by itself: each message waits, in its order between two ends, until it is chosen. */
export class ManualNet extends SimNet {
  readonly #listeners = new Map<Address, Listener>();
  readonly #channels = new Map<string, Held[]>();
  readonly #replies = new ReplyAddresses();

  constructor() {
    super(new SimTime(), () => 0);
  }

  override listen(...[address, listener]: Parameters<SimNet['listen']>): void {
    this.#replies.listen(address, listener.instance);
    this.#listeners.set(address, listener);
  }

  override send(...[from, to, bytes, undelivered]: Sent): void {
    const end = this.#replies.end(to);
    const address = end?.address ?? to;
    const name = `${from.address}>${address}`;
    const held = this.#channels.get(name) ?? [];
    held.push({ sender: from.address, replyTo: this.#replies.of(from.address), bytes, undelivered, instance: end?.instance, to: address });
    this.#channels.set(name, held);
  }

  /** The pairs of ends with something under way, by name, sorted. */
  channels(): readonly string[] {
    return [...this.#channels].flatMap(([name, held]) => (held.length > 0 ? [name] : [])).sort();
  }

  /** Where the next message of a pair of ends goes, and what it is, as short text. */
  next(channel: string): { readonly at: Address; readonly print: string } | undefined {
    const held = this.#channels.get(channel)?.[0];
    if (held === undefined) return undefined;
    const print = createHash('sha1').update(held.bytes).digest('base64');
    // Where nobody listens the sender is told.
    return this.#reaches(held) ? { at: held.to, print } : { at: held.sender, print: `refused ${print}` };
  }

  deliver(channel: string): void {
    const held = this.#channels.get(channel)?.shift();
    if (held === undefined) return;
    if (this.#reaches(held)) this.#listeners.get(held.to)?.take(held.bytes, held.replyTo);
    else held.undelivered('reset');
  }

  #reaches({ to, instance }: Held): boolean {
    return instance !== undefined && !instance.dead && this.#listeners.get(to)?.instance === instance;
  }
}
