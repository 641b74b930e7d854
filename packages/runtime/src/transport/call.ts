import type * as v from 'valibot';

/** A remote procedure: its name on the wire and the schemas of its request body (B) and its response body (R). */
export interface Call<B, R> {
  readonly name: string;
  readonly body: v.GenericSchema<unknown, B>;
  readonly response: v.GenericSchema<unknown, R>;
}
