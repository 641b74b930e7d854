import type { HttpDrain } from '@pewterlanding/runtime';

/** The HTTP interface of a started proxy, as its shutdown uses it. */
export interface ServedHttp {
  readonly drain: HttpDrain;
  /** Closes all servers and connections, also those with open requests. */
  readonly close: () => Promise<void>;
}
