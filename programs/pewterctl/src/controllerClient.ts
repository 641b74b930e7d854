import { request } from 'undici';
import type { Address } from '@pewterlanding/model';
import type { ControllerReturn } from './controllerReturn.js';
import { NoControllerError } from './noControllerError.js';
import { UnavailableError } from './unavailableError.js';

/** Asks the controller by HTTP, trying each of its machines in turn. */
export class ControllerClient {
  readonly #controllers: readonly Address[];
  readonly #waitMs: number;

  /** `waitMs` is how long each machine may take to answer, in milliseconds. */
  constructor(controllers: readonly Address[], waitMs: number) {
    this.#controllers = controllers;
    this.#waitMs = waitMs;
  }

  /** Throws a `NoControllerError` when no machine answers, or only with 503. */
  async ask(method: 'GET' | 'POST', path: string, body?: unknown): Promise<ControllerReturn> {
    let cause: unknown;
    for (const controller of this.#controllers) {
      try {
        return await this.#askOne(controller, method, path, body);
      } catch (error) {
        cause = error;
      }
    }
    throw new NoControllerError(cause);
  }

  async #askOne(controller: Address, method: 'GET' | 'POST', path: string, body: unknown): Promise<ControllerReturn> {
    const content = body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) };
    const timeouts = { headersTimeout: this.#waitMs, bodyTimeout: this.#waitMs };
    const response = await request(`http://${controller}${path}`, { method, ...content, ...timeouts });
    const text = await response.body.text();
    // This machine reaches no leader; another one may.
    if (response.statusCode === 503) throw new UnavailableError(controller, text);
    return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) };
  }
}
