import type { PlanId } from '@pewterlanding/model';
import { PackedRing } from './packedRing.js';
import type { PlanOutcome } from './planOutcome.js';

/** Many more plans than operators complete while a confirmation may still be sent again. */
const maxPlans = 1024;
/** Outcomes of completed plans. The position is stored, so the order must not change. */
const outcomes = ['confirmed', 'conflict'] as const;

/** The outcomes of plans whose document was dropped: a confirmation sent again gets the same answer. */
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
