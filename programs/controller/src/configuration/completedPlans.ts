import type { PlanId } from '@pewterlanding/model';
import { PackedRing } from './packedRing.js';
import type { PlanOutcome } from './planOutcome.js';

/** Many more plans than operators settle while one of them may still ask again. */
const maxPlans = 1024;
/** What a settled plan may have come to; its place is written, so none may move. */
const outcomes = ['confirmed', 'conflict'] as const;

/** What became of plans whose document is gone: a confirmation sent again has the answer it had. */
export class CompletedPlans {
  static readonly schema = PackedRing.schema;
  readonly #ring = new PackedRing(maxPlans);

  add(id: PlanId, { outcome, version }: PlanOutcome): void {
    const position = outcomes.findIndex((one) => one === outcome);
    if (position >= 0) this.#ring.add(version * outcomes.length + position, id);
  }

  find(id: PlanId): PlanOutcome | undefined {
    const packed = PackedRing.hash(id);
    const known = this.#ring.find(({ hash }) => packed.equals(hash));
    if (known === undefined) return undefined;
    const outcome = outcomes[known.number % outcomes.length];
    return outcome === undefined ? undefined : { outcome, version: Math.floor(known.number / outcomes.length) };
  }

  snapshot(): ReturnType<PackedRing['snapshot']> {
    return this.#ring.snapshot();
  }

  restore(raw: Parameters<PackedRing['restore']>[0]): void {
    this.#ring.restore(raw);
  }
}
