import { randomUUID } from 'node:crypto';
import { Counters, nodeLog, StartupTimeline, SystemClock, TcpTransport } from '@pewterlanding/runtime';
import type { Address } from '@pewterlanding/model';
import type { BootSettings, Clock, Running } from '@pewterlanding/runtime';
import { defaultHeaderNames } from './headers/defaultHeaderNames.js';
import type { HeaderNames } from './headers/headerNames.js';
import { HttpReplicaTransport } from './forwarding/httpReplicaTransport.js';
import { drainProxy, FrontProxy } from './front-proxy/index.js';
import type { ServedHttp } from './server/index.js';

interface StartProxyOptions {
  readonly bootSettings: BootSettings;
  readonly http: Address;
  /** The agent's address. */
  readonly beside: Address;
  /** Names of the headers on opaque tasks; by default the product's own. */
  readonly headerNames?: HeaderNames;
  /** Starts the HTTP interface for callers. */
  readonly serve: (parts: {
    readonly bootSettings: BootSettings;
    readonly proxy: FrontProxy;
    readonly instance: string;
    readonly clock: Clock;
    readonly counters: Counters;
  }) => Promise<ServedHttp>;
}

/** Starts a proxy: resolves once it listens for its agent and for callers, rejects when an address cannot be listened on. */
export async function startProxy(options: StartProxyOptions): Promise<Running> {
  const { bootSettings, serve } = options;
  const clock = new SystemClock();
  const counters = new Counters();
  const log = nodeLog(`${bootSettings.name}/proxy`, bootSettings.logLevel);
  const timeline = new StartupTimeline({ clock, log });
  timeline.reach('settings read');
  const { listen, advertise, fleet } = bootSettings;
  const transport = new TcpTransport({ here: advertise ?? listen, listen, fleet, clock, counters });
  const replicas = new HttpReplicaTransport(clock);
  const instance = randomUUID();
  const proxy = new FrontProxy({
    ...settingsOf(options),
    instance,
    clock,
    transport,
    replicas,
    random: Math.random,
    counters,
    log,
    timeline,
  });
  await transport.listen();
  const http = await serve({ bootSettings, proxy, instance, clock, counters });
  log.info(`callers at ${options.http}`);
  timeline.reach('listening');
  return {
    leave: async (graceMs) => {
      await drainProxy({ proxy, drain: http.drain, clock, counters, log, graceMs });
      proxy.finish();
      await replicas.close();
      await http.close();
      transport.close();
    },
  };
}

function settingsOf({ bootSettings, beside, headerNames }: StartProxyOptions) {
  const { name, zone, seeds, heartbeatMs, failureTimeoutMs } = bootSettings;
  return { front: name, zone, seeds, heartbeatMs, failureTimeoutMs, agent: beside, headerNames: headerNames ?? defaultHeaderNames };
}
