import type * as v from 'valibot';
import type { Call } from './call.js';

/** Names a call and both its shapes. */
export function defineCall<B, R>(name: string, body: v.GenericSchema<unknown, B>, response: v.GenericSchema<unknown, R>): Call<B, R> {
  return { name, body, response };
}
