import { updateKeys } from '@pewterlanding/agent';
import type { Membership } from '@pewterlanding/membership';
import type { Clock, Transport } from '@pewterlanding/runtime';
import { controllerCalls } from '../controllerCalls.js';
import type { ControllerContacts } from './controllerContacts.js';

interface HeartbeatExchangeOptions {
  readonly membership: Membership;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly contacts: ControllerContacts;
  /** How long heartbeats are collected for one message. */
  readonly collectMs: number;
  /** A message is sent at least so often, also without heartbeats: it shows the others that this controller is reachable. */
  readonly periodMs: number;
}

/** Sends the counters of the heartbeats received here to the other controllers, which do not receive them themselves. */
export class HeartbeatExchange {
  readonly #options: HeartbeatExchangeOptions;
  readonly #unsent = new Map<string, number>();
  #cancelSend: (() => void) | undefined;
  #sentMs = 0;

  constructor(options: HeartbeatExchangeOptions) {
    this.#options = options;
  }

  /** Has a heartbeat sent within `collectMs`; `key` is the instance's key in the state table. */
  add(key: string, counter: number): void {
    const { clock, collectMs } = this.#options;
    this.#unsent.set(key.slice(updateKeys.replicas.length), counter);
    this.#cancelSend ??= clock.after(collectMs, () => this.#send());
  }

  /** Sends a report, with or without heartbeats, if the last one is a period old. */
  sendIfDue(nowMs: number): void {
    if (nowMs - this.#sentMs >= this.#options.periodMs) this.#send();
  }

  close(): void {
    this.#cancelSend?.();
  }

  #send(): void {
    const { membership, transport, clock, contacts } = this.#options;
    this.#cancelSend?.();
    this.#cancelSend = undefined;
    this.#sentMs = clock.nowMs();
    const instances = [...this.#unsent];
    this.#unsent.clear();
    for (const { role, name, address } of membership.live()) {
      if (role !== 'controller' || name === membership.name) continue;
      transport.tell(address, controllerCalls.heard, { from: membership.name, instances, hears: contacts.speaking() });
    }
  }
}
