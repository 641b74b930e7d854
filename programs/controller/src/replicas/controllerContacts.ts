import type { Membership } from '@pewterlanding/membership';
import type { NodeName } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';

interface ControllerContactsOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  /** A contact that was not renewed for so long is lost, in milliseconds. */
  readonly lastingMs: number;
  /** Controllers whose message arrived within this time are reported as heard, in milliseconds. */
  readonly speakingMs: number;
}

/** Which other controllers' messages arrive here, and which of them report that they receive ours: contact needs both ways. */
export class ControllerContacts {
  readonly #options: ControllerContactsOptions;
  readonly #spokeMs = new Map<NodeName, number>();
  readonly #answeredMs = new Map<NodeName, number>();
  /** Whether a majority was in contact since `forget`; before that, silence proves nothing. */
  #established = false;

  constructor(options: ControllerContactsOptions) {
    this.#options = options;
  }

  /** A controller's message arrived; it names the controllers that it hears. */
  heard(from: NodeName, hears: readonly NodeName[]): void {
    const nowMs = this.#options.clock.nowMs();
    this.#spokeMs.set(from, nowMs);
    if (hears.includes(this.#options.membership.name)) this.#answeredMs.set(from, nowMs);
    else this.#answeredMs.delete(from);
  }

  /** The controllers whose messages arrived lately. */
  speaking(): NodeName[] {
    const sinceMs = this.#options.clock.nowMs() - this.#options.speakingMs;
    return [...this.#spokeMs].flatMap(([name, spokeMs]) => (spokeMs >= sinceMs ? [name] : []));
  }

  /** Whether a majority of controllers, this one among them, has sent a message since; a message names all that its sender heard. */
  maxSpokeSince(sinceMs: number): boolean {
    return this.#isMajority((name) => (this.#spokeMs.get(name) ?? Number.NEGATIVE_INFINITY) >= sinceMs);
  }

  /** True while a majority that heard this controller before does not report it any more. */
  get lost(): boolean {
    return this.#established && !this.#majorityAnswered();
  }

  /** Records contact with a majority. */
  look(): void {
    if (this.#majorityAnswered()) this.#established = true;
  }

  /** From now on silence proves nothing until a majority is in contact again. */
  forget(): void {
    this.#established = false;
  }

  #majorityAnswered(): boolean {
    const sinceMs = this.#options.clock.nowMs() - this.#options.lastingMs;
    return this.#isMajority((name) => (this.#answeredMs.get(name) ?? Number.NEGATIVE_INFINITY) >= sinceMs);
  }

  /** Whether more than half of the controllers that have not left, this one among them, fulfil a condition. */
  #isMajority(fulfils: (name: NodeName) => boolean): boolean {
    const { membership } = this.#options;
    const others = membership
      .nodeRecords()
      .filter(({ role, state, name }) => role === 'controller' && state !== 'left' && name !== membership.name);
    const fulfilling = others.filter(({ name }) => fulfils(name)).length;
    return (fulfilling + 1) * 2 > others.length + 1;
  }
}
