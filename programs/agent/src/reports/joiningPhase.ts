import * as v from 'valibot';
import { UpdateReader } from '@pewterlanding/membership';
import type { Membership } from '@pewterlanding/membership';
import { updateKeys } from '../sharedState/index.js';

const JoiningConfiguration = v.object({ configuration: v.object({ joining: v.optional(v.boolean(), false) }) });

/** Whether the configuration in force says that the fleet is still joining; freshness doesn't expire then. */
export class JoiningPhase {
  readonly #membership: Membership;
  readonly #reader = UpdateReader.of(JoiningConfiguration);

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  get active(): boolean {
    return this.#reader.read(this.#membership.stateTable.get(updateKeys.configuration))?.configuration.joining === true;
  }
}
