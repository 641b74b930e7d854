import { Decoder, Encoder } from 'cbor-x';
import * as v from 'valibot';
import { RequestTracker, Frame } from '@pewterlanding/runtime';
import type { Address } from '@pewterlanding/model';
import type { Call, Clock, Counters, Transport } from '@pewterlanding/runtime';
import type { Instance, SimMachine } from '../engine/index.js';
import type { SimNet } from './simNet.js';

interface SimTransportOptions {
  readonly here: Address;
  readonly machine: SimMachine;
  readonly instance: Instance;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly net: SimNet;
}

/** The wire in virtual time. Messages are encoded and checked as on the real one, so nothing is shared by reference. */
export class SimTransport implements Transport {
  readonly here: Address;
  readonly #options: SimTransportOptions;
  readonly #encoder = new Encoder({ useRecords: false });
  readonly #decoder = new Decoder({ useRecords: false });
  readonly #requests: RequestTracker<object>;
  /** What waits for an answer, by where it was asked. */
  readonly #asked = new Map<Address, Set<object>>();

  constructor(options: SimTransportOptions) {
    const { here, machine, instance, clock, counters, net } = options;
    this.here = here;
    this.#options = options;
    this.#requests = new RequestTracker(clock, counters);
    net.listen(here, {
      machine,
      instance,
      take: (bytes, from) =>
        this.#requests.take(v.parse(Frame, this.#decoder.decode(bytes)), (frame) => this.#send(from, frame, () => undefined)),
      lost: (peer) => {
        if (!instance.dead) for (const via of this.#asked.get(peer) ?? []) this.#requests.lost(via);
      },
    });
  }

  serve<B, R>(call: Call<B, R>, handle: (body: B) => Promise<R>): void {
    this.#requests.serve(call, handle);
  }

  ask<B, R>(to: Address, call: Call<B, R>, body: B, waitMs: number): Promise<R> {
    // Each task stands for itself: a dial that is refused loses that one.
    const via = {};
    const asked = this.#asked.get(to) ?? new Set();
    this.#asked.set(to, asked.add(via));
    const send = (frame: Frame): boolean => this.#send(to, frame, (sent) => this.#requests.lost(via, sent));
    return this.#requests.ask(via, send, call, body, waitMs).finally(() => asked.delete(via));
  }

  tell<B, R>(to: Address, call: Call<B, R>, body: B): void {
    this.#send(to, { kind: 'tell', call: call.name, body }, () => undefined);
  }

  #send(to: Address, frame: Frame, undelivered: (sent: boolean) => void): boolean {
    const { instance, net, machine } = this.#options;
    if (instance.dead) return true;
    net.send({ machine, address: this.here }, to, this.#encoder.encode(frame), (reason) => {
      if (!instance.dead) undelivered(reason === 'reset');
    });
    return true;
  }
}
