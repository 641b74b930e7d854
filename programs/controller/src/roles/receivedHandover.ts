import type { Balances } from '@pewterlanding/rate-limit';
import type { RoleHandover } from './roleHandover.js';

/** The last handover that this node received, until the role is acquired. */
export class ReceivedHandover {
  #handover: RoleHandover | undefined;

  /** False for a handover of a term before `knownTerm`, or received twice. */
  accept(handover: RoleHandover, knownTerm: number): boolean {
    if (handover.term < knownTerm || this.#handover?.term === handover.term) return false;
    this.#handover = handover;
    return true;
  }

  /**
   * Takes the handover out. Its balances are current only for the term right after its own, for only then has nobody granted
   * anything in between; `refused` tells that it was of another term.
   */
  take(term: number): { readonly balances?: Balances; readonly refused: boolean } {
    const handover = this.#handover;
    this.#handover = undefined;
    if (handover === undefined) return { refused: false };
    return handover.term === term - 1 ? { balances: handover.balances, refused: false } : { refused: true };
  }
}
