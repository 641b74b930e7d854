import * as v from 'valibot';
import type { StateMachine } from '@pewterlanding/consensus';

const Add = v.strictObject({ name: v.string(), by: v.number() });
type Add = v.InferOutput<typeof Add>;
const Sum = v.number();
const Digest = v.record(v.string(), v.number());

/** The machine that is replicated here: sums by name. */
export class Tally implements StateMachine<Add, number> {
  #sums: Record<string, number> = {};

  get(name: string): number {
    return this.#sums[name] ?? 0;
  }

  read(raw: unknown): Add {
    return v.parse(Add, raw);
  }

  readReturn(raw: unknown): number {
    return v.parse(Sum, raw);
  }

  apply({ name, by }: Add): number {
    this.#sums = { ...this.#sums, [name]: this.get(name) + by };
    return this.get(name);
  }

  snapshot(): unknown {
    return { ...this.#sums };
  }

  restore(digest: unknown): void {
    this.#sums = v.parse(v.nullish(Digest, {}), digest);
  }
}
