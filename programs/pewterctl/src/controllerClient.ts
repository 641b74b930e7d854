import { request } from 'undici';
import type { Address } from '@pewterlanding/model';

interface ControllerReturn {
  readonly status: number;
  readonly body: unknown;
}

/** Asks the controller by HTTP, trying each of its machines in turn. */
export class ControllerClient {
  readonly #controllers: readonly Address[];
  readonly #waitMs: number;

  constructor(controllers: readonly Address[], waitMs: number) {
    this.#controllers = controllers;
    this.#waitMs = waitMs;
  }

  async ask(method: 'GET' | 'POST', path: string, body?: unknown): Promise<ControllerReturn> {
    let last: unknown;
    for (const controller of this.#controllers) {
      try {
        const response = await request(`http://${controller}${path}`, {
          method,
          ...(body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
          headersTimeout: this.#waitMs,
          bodyTimeout: this.#waitMs,
        });
        const text = await response.body.text();
        const read: unknown = text === '' ? undefined : JSON.parse(text);
        // A controller machine without the leader's ear is no return; another may have it.
        if (response.statusCode === 503) {
          last = new Error(`${controller}: ${text}`);
          continue;
        }
        return { status: response.statusCode, body: read };
      } catch (error) {
        last = error;
      }
    }
    throw last instanceof Error ? last : new Error('no controller machine answers');
  }
}
