import * as v from 'valibot';
import type { Clock } from '../clock/index.js';
import { errorLine } from '../logging/index.js';
import type { Counters } from '../logging/index.js';
import type { Call } from './call.js';
import type { Frame } from './frame.js';
import { Slab } from './slab.js';
import { TransportError } from './transportError.js';

type Handler = (body: unknown) => Promise<unknown>;
type RequestFrame = Extract<Frame, { readonly kind: 'ask' | 'tell' }>;
type ResponseFrame = Extract<Frame, { readonly kind: 'back' | 'fail' }>;

/** A request that has neither a response nor an error yet. */
interface PendingRequest<V> {
  readonly via: V;
  readonly call: string;
  readonly complete: (body: unknown) => void;
  readonly fail: (error: TransportError) => void;
}

/**
 * Matches responses to requests, applies time limits and calls handlers, over any means of moving frames. `V` is what a response
 * depends on, such as a connection. Bodies are checked by the schemas of their call on both sides.
 */
export class RequestTracker<V> {
  readonly #clock: Clock;
  readonly #counters: Counters;
  readonly #handlers = new Map<string, Handler>();
  readonly #pending = new Slab<PendingRequest<V>>();

  constructor(clock: Clock, counters: Counters) {
    this.#clock = clock;
    this.#counters = counters;
  }

  /** Registers the handler of a call. What it throws goes back to the caller as one line of text. */
  serve<B, R>(call: Call<B, R>, handle: (body: B) => Promise<R>): void {
    this.#handlers.set(call.name, async (raw) => {
      const body = v.safeParse(call.body, raw);
      if (!body.success) {
        this.#counters.add('wire.unreadable');
        throw unreadable(call.name, body.issues[0].message);
      }
      return handle(body.output);
    });
  }

  /** Sends a request over `via` and resolves with its response; `send` returns whether the frame went out. */
  ask<B, R>(via: V, send: (frame: Frame) => boolean, call: Call<B, R>, body: B, waitMs: number): Promise<R> {
    return new Promise<R>((resolve, reject) => {
      let cancelTimeout = (): void => undefined;
      const key = this.#pending.put({
        via,
        call: call.name,
        complete: (raw) => {
          cancelTimeout();
          const response = v.safeParse(call.response, raw);
          if (response.success) resolve(response.output);
          else reject(unreadable(call.name, response.issues[0].message));
        },
        fail: (error) => {
          cancelTimeout();
          reject(error);
        },
      });
      cancelTimeout = this.#clock.after(waitMs, () => {
        this.#pending.take(key)?.fail(new TransportError('silent', `${call.name}: no return in ${waitMs} ms`));
      });
      const sent = send({ kind: 'ask', slot: key.slot, gen: key.generation, call: call.name, body });
      if (!sent) this.#pending.take(key)?.fail(new TransportError('unsent', `${call.name}: not sent`));
    });
  }

  /** Fails all pending requests over `via`: as `lost`, or as `unsent` where it was never established. */
  lost(via: V, sent = true): void {
    const reason = sent ? 'lost' : 'unsent';
    for (const request of this.#pending.takeWhere((pending) => pending.via === via)) {
      request.fail(new TransportError(reason, `${request.call}: the circuit was lost`));
    }
  }

  /** Handles a frame that came in; `reply` sends a frame back to where it came from. */
  take(frame: Frame, reply: (frame: Frame) => unknown): void {
    if (frame.kind === 'back' || frame.kind === 'fail') this.#settle(frame);
    else this.#handle(frame, reply);
  }

  #settle(frame: ResponseFrame): void {
    const request = this.#pending.take({ slot: frame.slot, generation: frame.gen });
    if (request === undefined) this.#counters.add('wire.lateReturn');
    else if (frame.kind === 'back') request.complete(frame.body);
    else request.fail(new TransportError('refused', frame.message));
  }

  #handle(frame: RequestFrame, reply: (frame: Frame) => unknown): void {
    const handled = this.#callHandler(frame);
    if (frame.kind === 'tell') {
      handled.catch(() => this.#counters.add('wire.tellFailed'));
      return;
    }
    const { slot, gen } = frame;
    handled
      .then(
        (body) => reply({ kind: 'back', slot, gen, body }),
        (error: unknown) => reply({ kind: 'fail', slot, gen, message: errorLine(error) }),
      )
      .catch(() => this.#counters.add('wire.replyFailed'));
  }

  /** Not async: a further turn of the microtask queue would change the order of simulated runs. */
  #callHandler(frame: RequestFrame): Promise<unknown> {
    const handler = this.#handlers.get(frame.call);
    if (handler === undefined) return Promise.reject(new TransportError('unreadable', `no call ${frame.call}`));
    return handler(frame.body);
  }
}

function unreadable(call: string, message: string): TransportError {
  return new TransportError('unreadable', `${call}: ${message}`);
}
