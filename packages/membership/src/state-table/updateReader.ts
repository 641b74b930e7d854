import * as v from 'valibot';
import type { Update } from './update.js';

/** Parses each update's value once. Updates are immutable, so the result is kept for as long as the update is. */
export class UpdateReader<T> {
  readonly #parse: (value: unknown) => T | undefined;
  readonly #known = new WeakMap<Update, { readonly value: T | undefined }>();

  constructor(parse: (value: unknown) => T | undefined) {
    this.#parse = parse;
  }

  /** A reader of values that match a schema. */
  static of<T>(schema: v.GenericSchema<unknown, T>): UpdateReader<T> {
    return new UpdateReader((value) => {
      const read = v.safeParse(schema, value);
      return read.success ? read.output : undefined;
    });
  }

  /** Undefined where there is no update or its value does not match. */
  read(update: Update | undefined): T | undefined {
    if (update === undefined) return undefined;
    const known = this.#known.get(update);
    if (known !== undefined) return known.value;
    const value = this.#parse(update.value);
    this.#known.set(update, { value });
    return value;
  }
}
