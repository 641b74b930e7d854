import { randomUUID } from 'node:crypto';
import { Counters, nodeLog, pause, StartupTimeline, SystemClock, TcpTransport } from '@pewterlanding/runtime';
import type { Address } from '@pewterlanding/model';
import type { BootSettings, Clock, Running } from '@pewterlanding/runtime';
import { FrontProxy } from './front-proxy/index.js';
import type { HeaderNames } from './forwarding/headerNames.js';
import { HttpReplicaTransport } from './forwarding/httpReplicaTransport.js';
import { defaultHeaderNames } from './forwarding/defaultHeaderNames.js';

/** Of the grace: what runs of lots is broken off so long before its end. */
const haltRatio = 0.1;

interface StartProxyOptions {
  readonly bootSettings: BootSettings;
  readonly http: Address;
  /** The agent's address. */
  readonly beside: Address;
  /** The names of headers on opaque tasks; left out, the product's own. */
  readonly headerNames?: HeaderNames;
  /** What callers reach; listens, and returns how to end it. */
  readonly serve: (parts: {
    readonly bootSettings: BootSettings;
    readonly proxy: FrontProxy;
    readonly instance: string;
    readonly clock: Clock;
    readonly counters: Counters;
  }) => Promise<() => Promise<void>>;
}

/** A proxy put together and listening. */
export async function startProxy({
  bootSettings,
  http,
  beside,
  headerNames = defaultHeaderNames,
  serve,
}: StartProxyOptions): Promise<Running> {
  const clock = new SystemClock();
  const counters = new Counters();
  const log = nodeLog(`${bootSettings.name}/proxy`, bootSettings.logLevel);
  const timeline = new StartupTimeline({ clock, log });
  timeline.reach('settings read');
  const transport = new TcpTransport({
    here: bootSettings.advertise ?? bootSettings.listen,
    listen: bootSettings.listen,
    fleet: bootSettings.fleet,
    clock,
    counters,
  });
  const replicas = new HttpReplicaTransport(clock);
  const instance = randomUUID();
  const proxy = new FrontProxy({
    front: bootSettings.name,
    instance,
    zone: bootSettings.zone,
    agent: beside,
    seeds: bootSettings.seeds,
    clock,
    transport,
    replicas,
    headerNames,
    random: Math.random,
    heartbeatMs: bootSettings.heartbeatMs,
    failureTimeoutMs: bootSettings.failureTimeoutMs,
    counters,
    log,
    timeline,
  });
  await transport.listen();
  const end = await serve({ bootSettings, proxy, instance, clock, counters });
  log.info(`callers at ${http}`);
  timeline.reach('listening');
  return {
    leave: async (graceMs) => {
      proxy.leave();
      const untilMs = clock.nowMs() + graceMs;
      // The platform needs a moment to see that this front is not ready; it serves until then.
      const noticeMs = clock.nowMs() + Math.min(graceMs / 3, 2000);
      while (clock.nowMs() < untilMs && (proxy.running > 0 || clock.nowMs() < noticeMs)) {
        // Items that are given back need a moment to be written, and all of it ends inside the grace.
        if (untilMs - clock.nowMs() < graceMs * haltRatio) proxy.halt();
        await pause(clock, 50);
      }
      proxy.finish();
      await replicas.close();
      await end();
      transport.close();
    },
  };
}
