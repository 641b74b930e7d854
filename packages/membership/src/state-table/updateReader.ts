import * as v from 'valibot';
import type { Update } from './update.js';

/** Reads each piece of news once: what stands on a board never changes, it only gives way to something newer. */
export class UpdateReader<T> {
  readonly #parse: (value: unknown) => T | undefined;
  readonly #known = new WeakMap<Update, { readonly value: T | undefined }>();

  constructor(parse: (value: unknown) => T | undefined) {
    this.#parse = parse;
  }

  static of<T>(schema: v.GenericSchema<unknown, T>): UpdateReader<T> {
    return new UpdateReader((value) => {
      const read = v.safeParse(schema, value);
      return read.success ? read.output : undefined;
    });
  }

  /** Undefined where there is no news or they are not of this kind. */
  read(update: Update | undefined): T | undefined {
    if (update === undefined) return undefined;
    const known = this.#known.get(update);
    if (known !== undefined) return known.value;
    const value = this.#parse(update.value);
    this.#known.set(update, { value });
    return value;
  }
}
