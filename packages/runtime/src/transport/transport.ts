import type { Address } from '@pewterlanding/model';
import type { Call } from './call.js';

/** Remote procedure calls between the processes of a fleet. */
export interface Transport {
  /** The address at which other processes reach this one. */
  readonly here: Address;
  /**
   * Sends a request and resolves with the response. Rejects with a TransportError, at the latest after `waitMs` milliseconds; a
   * failed request may still have been executed, unless the reason is `unsent`.
   */
  ask<B, R>(to: Address, call: Call<B, R>, body: B, waitMs: number): Promise<R>;
  /** Sends a request that has no response. Nothing tells whether it arrived. */
  tell<B, R>(to: Address, call: Call<B, R>, body: B): void;
  /** Registers the handler of a call; a later one for the same call replaces it. */
  serve<B, R>(call: Call<B, R>, handle: (body: B) => Promise<R>): void;
}
