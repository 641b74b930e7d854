import type { Membership } from '@pewterlanding/membership';
import type { NodeName } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';

interface ControllerContactsOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  /** A contact that was not renewed for so long is lost. */
  readonly lastingMs: number;
  /** Who spoke within this time is named as heard. */
  readonly speakingMs: number;
}

/** Which other controllers this one hears, and which of them say that they hear it: both ways are needed to be in contact. */
export class ControllerContacts {
  readonly #options: ControllerContactsOptions;
  readonly #spokeMs = new Map<NodeName, number>();
  readonly #answeredMs = new Map<NodeName, number>();
  /** Whether most were in contact since the last time that silence said nothing. */
  #established = false;

  constructor(options: ControllerContactsOptions) {
    this.#options = options;
  }

  /** A controller spoke, and named those that it hears. */
  heard(from: NodeName, hears: readonly NodeName[]): void {
    const nowMs = this.#options.clock.nowMs();
    this.#spokeMs.set(from, nowMs);
    if (hears.includes(this.#options.membership.name)) this.#answeredMs.set(from, nowMs);
    else this.#answeredMs.delete(from);
  }

  /** The controllers that spoke lately. */
  speaking(): NodeName[] {
    const sinceMs = this.#options.clock.nowMs() - this.#options.speakingMs;
    return [...this.#spokeMs].flatMap(([name, spokeMs]) => (spokeMs >= sinceMs ? [name] : []));
  }

  /** What a controller says holds all that it heard until then: those that spoke since a time did not hear what they did not name. */
  maxSpokeSince(sinceMs: number): boolean {
    return this.#limit((name) => (this.#spokeMs.get(name) ?? Number.NEGATIVE_INFINITY) >= sinceMs);
  }

  /** True while most controllers, which heard this one before, do not say so any more. */
  get lost(): boolean {
    return this.#established && !this.#maxAnswered();
  }

  /** Notes whether most are in contact now. */
  look(): void {
    if (this.#maxAnswered()) this.#established = true;
  }

  /** From now on silence says nothing until most are in contact again. */
  forget(): void {
    this.#established = false;
  }

  #maxAnswered(): boolean {
    const sinceMs = this.#options.clock.nowMs() - this.#options.lastingMs;
    return this.#limit((name) => (this.#answeredMs.get(name) ?? Number.NEGATIVE_INFINITY) >= sinceMs);
  }

  /** Whether more than half of the controllers, this one among them, fulfil a condition. */
  #limit(fulfils: (name: NodeName) => boolean): boolean {
    const { membership } = this.#options;
    const others = membership
      .nodeRecords()
      .filter(({ role, state, name }) => role === 'controller' && state !== 'left' && name !== membership.name);
    const fulfilling = others.filter(({ name }) => fulfils(name)).length;
    return (fulfilling + 1) * 2 > others.length + 1;
  }
}
