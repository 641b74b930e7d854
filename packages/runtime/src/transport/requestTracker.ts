import * as v from 'valibot';
import type { Call } from './call.js';
import type { Clock } from '../clock/clock.js';
import type { Counters } from '../logging/counters.js';
import { errorLine } from '../logging/errorLine.js';
import type { Frame } from './frame.js';
import { Slab } from './slab.js';
import { TransportError } from './transportError.js';

interface Waiting<V> {
  readonly via: V;
  readonly call: string;
  readonly take: (body: unknown) => void;
  readonly fail: (error: TransportError) => void;
}

/** Tasks and returns matched through a slab, handlers by name, every body checked: what a wire does beside moving bytes. */
export class RequestTracker<V> {
  readonly #clock: Clock;
  readonly #counters: Counters;
  readonly #handlers = new Map<string, (body: unknown) => Promise<unknown>>();
  readonly #waiting = new Slab<Waiting<V>>();

  constructor(clock: Clock, counters: Counters) {
    this.#clock = clock;
    this.#counters = counters;
  }

  serve<B, R>(call: Call<B, R>, handle: (body: B) => Promise<R>): void {
    this.#handlers.set(call.name, async (raw) => {
      const body = v.safeParse(call.body, raw);
      if (!body.success) {
        this.#counters.add('wire.unreadable');
        throw new TransportError('unreadable', `${call.name}: ${body.issues[0].message}`);
      }
      return handle(body.output);
    });
  }

  /** `send` says whether the frame went out; `via` is what the return depends on. */
  ask<B, R>(via: V, send: (frame: Frame) => boolean, call: Call<B, R>, body: B, waitMs: number): Promise<R> {
    return new Promise<R>((resolve, reject) => {
      let cancel = (): void => undefined;
      const key = this.#waiting.put({
        via,
        call: call.name,
        take: (raw) => {
          cancel();
          const read = v.safeParse(call.response, raw);
          if (read.success) resolve(read.output);
          else reject(new TransportError('unreadable', `${call.name}: ${read.issues[0].message}`));
        },
        fail: (error) => {
          cancel();
          reject(error);
        },
      });
      cancel = this.#clock.after(waitMs, () =>
        this.#waiting.take(key)?.fail(new TransportError('silent', `${call.name}: no return in ${waitMs} ms`)),
      );
      const sent = send({ kind: 'ask', slot: key.slot, gen: key.generation, call: call.name, body });
      if (!sent) this.#waiting.take(key)?.fail(new TransportError('unsent', `${call.name}: not sent`));
    });
  }

  /** What waits for a return by this way will not get one; `sent` unless the way never came to be. */
  lost(via: V, sent = true): void {
    for (const waiting of this.#waiting.takeWhere((held) => held.via === via))
      waiting.fail(new TransportError(sent ? 'lost' : 'unsent', `${waiting.call}: the circuit was lost`));
  }

  take(frame: Frame, reply: (frame: Frame) => unknown): void {
    if (frame.kind === 'back' || frame.kind === 'fail') {
      const waiting = this.#waiting.take({ slot: frame.slot, generation: frame.gen });
      if (waiting === undefined) this.#counters.add('wire.lateReturn');
      else if (frame.kind === 'back') waiting.take(frame.body);
      else waiting.fail(new TransportError('refused', frame.message));
      return;
    }
    const handle = this.#handlers.get(frame.call);
    const done = handle === undefined ? Promise.reject(new TransportError('unreadable', `no call ${frame.call}`)) : handle(frame.body);
    if (frame.kind === 'tell') {
      done.catch(() => this.#counters.add('wire.tellFailed'));
      return;
    }
    const { slot, gen } = frame;
    done
      .then(
        (body) => reply({ kind: 'back', slot, gen, body }),
        (error: unknown) => reply({ kind: 'fail', slot, gen, message: errorLine(error) }),
      )
      .catch(() => this.#counters.add('wire.replyFailed'));
  }
}
