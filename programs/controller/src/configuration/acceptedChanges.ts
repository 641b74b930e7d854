import { PackedRing } from './packedRing.js';

/** Far more changes than a day brings: one every eleven seconds, around the clock. */
const maxChanges = 8192;

/** Which changes were accepted, by the operator's number and the content's hash: the same one sent again has its effect already. */
export class AcceptedChanges {
  static readonly schema = PackedRing.schema;
  readonly #ring = new PackedRing(maxChanges);

  add(revision: number, hash: string): void {
    this.#ring.add(revision, hash);
  }

  /** Whether this change was accepted (`same`), or another one under its number. */
  find(revision: number, hash: string): 'same' | 'other' | undefined {
    const packed = PackedRing.hash(hash);
    const known = this.#ring.find(({ number }) => number === revision);
    if (known === undefined) return undefined;
    return packed.equals(known.hash) ? 'same' : 'other';
  }

  snapshot(): ReturnType<PackedRing['snapshot']> {
    return this.#ring.snapshot();
  }

  restore(raw: Parameters<PackedRing['restore']>[0]): void {
    this.#ring.restore(raw);
  }
}
