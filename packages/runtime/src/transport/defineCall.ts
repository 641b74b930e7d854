import type * as v from 'valibot';
import type { Call } from './call.js';

/** Defines a remote procedure for the transport; client and server share the definition. */
export function defineCall<B, R>(name: string, body: v.GenericSchema<unknown, B>, response: v.GenericSchema<unknown, R>): Call<B, R> {
  return { name, body, response };
}
