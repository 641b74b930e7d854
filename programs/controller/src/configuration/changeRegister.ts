import type { Configuration, Finding } from '@pewterlanding/model';
import { AcceptedChanges } from './acceptedChanges.js';
import { changedConfiguration } from './changedConfiguration.js';
import type { ChangeOutcome } from './changeOutcome.js';
import type { ConfigurationChange } from './configurationChange.js';

interface Judgement {
  readonly outcome: ChangeOutcome;
  /** The configuration to put in force; left out where the change has its effect already, or is refused. */
  readonly next?: Configuration;
}

/** Every member remembers outcomes, so they must stay short. */
const maxFindings = 50;

/** Changes in one call: which were accepted, and what would become of one now. */
export class ChangeRegister {
  readonly #accepted = new AcceptedChanges();

  /** A pure function of the changes accepted so far and the configuration in force: every member runs it. */
  judge(change: ConfigurationChange, configuration: Configuration | undefined): Judgement {
    const { basedOn, revision, hash } = change;
    const current = configuration?.revision ?? 0;
    const known = this.#accepted.find(revision, hash);
    if (known === 'same') return { outcome: outcomeOf('taken', current) };
    // A number belongs to one change. Where it is also below the current one, the change is invalid, which tells the operator more.
    if (basedOn !== current || (known === 'other' && revision > current)) return { outcome: outcomeOf('conflict', current) };
    const next = changedConfiguration(change, configuration);
    if (!next.ok) return { outcome: outcomeOf('invalid', current, next.findings) };
    return { outcome: outcomeOf('taken', revision), next: next.value };
  }

  add({ revision, hash }: ConfigurationChange): void {
    this.#accepted.add(revision, hash);
  }

  snapshot(): ReturnType<AcceptedChanges['snapshot']> {
    return this.#accepted.snapshot();
  }

  restore(raw: Parameters<AcceptedChanges['restore']>[0]): void {
    this.#accepted.restore(raw);
  }
}

function outcomeOf(outcome: ChangeOutcome['outcome'], revision: number, findings: readonly Finding[] = []): ChangeOutcome {
  return { outcome, revision, findings: findings.slice(0, maxFindings).map((finding) => ({ ...finding })) };
}
