import { addressParts } from '@pewterlanding/model';
import type { Address } from '@pewterlanding/model';
import type { BootSettings, Counters } from '@pewterlanding/runtime';
import type { FrontProxy } from '../front-proxy/index.js';
import { proxyHttp } from './proxyHttp.js';
import type { ServedHttp } from './servedHttp.js';

interface StartedParts {
  readonly bootSettings: BootSettings;
  readonly proxy: FrontProxy;
  readonly instance: string;
  readonly counters: Counters;
}

/** Limit on the bodies of the product's own interface. */
const maxBodyBytes = 8 << 20;

/** Serves the product's own HTTP interface at `http`. */
export function serveProxyHttp(http: Address): (parts: StartedParts) => Promise<ServedHttp> {
  return async ({ bootSettings, proxy, instance, counters }) => {
    let tasks = 0;
    const { app, drain } = proxyHttp({
      proxy,
      counters,
      nextTask: () => `${bootSettings.name}-${instance}-${(tasks += 1)}`,
      maxBodyBytes,
    });
    const { host, port } = addressParts(http);
    await app.listen({ host, port });
    const close = async (): Promise<void> => {
      await app.close();
    };
    return { drain, close };
  };
}
