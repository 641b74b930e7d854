import type { Address } from '@pewterlanding/model';
import type { Call } from './call.js';

/** How processes talk. A failed `ask` says nothing of whether the other side acted. */
export interface Transport {
  readonly here: Address;
  ask<B, R>(to: Address, call: Call<B, R>, body: B, waitMs: number): Promise<R>;
  tell<B, R>(to: Address, call: Call<B, R>, body: B): void;
  serve<B, R>(call: Call<B, R>, handle: (body: B) => Promise<R>): void;
}
