import type { Address } from '@pewterlanding/model';
import type { Call, Clock, Transport } from '@pewterlanding/runtime';
import { TransportError } from '@pewterlanding/runtime';

interface PartedTransportOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  /** Whether words still reach an address. */
  readonly passes: (to: Address) => boolean;
  readonly sent: (call: string) => void;
}

/** A wire whose links can be cut: what is sent into a cut is gone, and a return never comes. */
export class PartedTransport implements Transport {
  readonly #options: PartedTransportOptions;

  constructor(options: PartedTransportOptions) {
    this.#options = options;
  }

  get here(): Address {
    return this.#options.transport.here;
  }

  serve<B, R>(call: Call<B, R>, handle: (body: B) => Promise<R>): void {
    this.#options.transport.serve(call, handle);
  }

  ask<B, R>(to: Address, call: Call<B, R>, body: B, waitMs: number): Promise<R> {
    const { transport, clock, passes, sent } = this.#options;
    sent(call.name);
    if (passes(to)) return transport.ask(to, call, body, waitMs);
    return new Promise((_, reject) => clock.after(waitMs, () => reject(new TransportError('silent', `${call.name}: cut`))));
  }

  tell<B, R>(to: Address, call: Call<B, R>, body: B): void {
    const { transport, passes, sent } = this.#options;
    sent(call.name);
    if (passes(to)) transport.tell(to, call, body);
  }
}
