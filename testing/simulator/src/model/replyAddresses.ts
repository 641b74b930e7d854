import * as v from 'valibot';
import { Address } from '@pewterlanding/model';
import type { Instance } from '../engine/index.js';

interface End {
  readonly address: Address;
  readonly instance: Instance;
}

/**
 * Under which address each instance of a process is answered. On real connections an answer goes back the way the call came and ends with
 * the process that asked; a later process at the same address, which numbers its calls alike, must not take it for its own.
 */
export class ReplyAddresses {
  readonly #ends = new Map<Address, End>();
  readonly #names = new Map<Instance, Address>();
  readonly #instances = new Map<Address, Instance>();

  /** A process begins to listen. */
  listen(address: Address, instance: Instance): void {
    const number = this.#names.size;
    const name = v.parse(Address, `127.200.${number >> 8}.${number & 255}:7000`);
    this.#names.set(instance, name);
    this.#ends.set(name, { address, instance });
    this.#instances.set(address, instance);
  }

  /** Where the process that listens at an address now is answered. */
  of(address: Address): Address {
    const instance = this.#instances.get(address);
    return (instance === undefined ? undefined : this.#names.get(instance)) ?? address;
  }

  /** Who is meant by an address: the process that is answered there, or the one that listens there now. */
  end(to: Address): End | undefined {
    const answered = this.#ends.get(to);
    if (answered !== undefined) return answered;
    const instance = this.#instances.get(to);
    return instance === undefined ? undefined : { address: to, instance };
  }
}
