import type * as v from 'valibot';

/** What can be asked of another process: its name on the wire and the shapes of task and return. */
export interface Call<B, R> {
  readonly name: string;
  readonly body: v.GenericSchema<unknown, B>;
  readonly response: v.GenericSchema<unknown, R>;
}
