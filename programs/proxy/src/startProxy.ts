import { randomUUID } from 'node:crypto';
import { Counters, nodeLog, pause, StartupTimeline, SystemClock, TcpTransport } from '@pewterlanding/runtime';
import type { Address } from '@pewterlanding/model';
import type { BootSettings, Clock, Log, Running } from '@pewterlanding/runtime';
import { shutdownCounters } from './connections/shutdownCounters.js';
import { defaultHeaderNames } from './headers/defaultHeaderNames.js';
import type { HeaderNames } from './headers/headerNames.js';
import { HttpReplicaTransport } from './forwarding/httpReplicaTransport.js';
import { FrontProxy } from './front-proxy/index.js';

interface StartProxyOptions {
  readonly bootSettings: BootSettings;
  readonly http: Address;
  /** The agent's address. */
  readonly beside: Address;
  /** Names of the headers on opaque tasks; by default the product's own. */
  readonly headerNames?: HeaderNames;
  /** Starts the HTTP interface for callers; resolves to what stops it. */
  readonly serve: (parts: {
    readonly bootSettings: BootSettings;
    readonly proxy: FrontProxy;
    readonly instance: string;
    readonly clock: Clock;
    readonly counters: Counters;
  }) => Promise<() => Promise<void>>;
}

/** Part of the grace period, at its end, in which batch items that still run are aborted and their leases returned. */
const haltRatio = 0.1;
/** A leaving proxy serves for a third of the grace period, at most for so long, until the platform sees that it is not ready. */
const maxNoticeMs = 2000;
const noticeDivisor = 3;
/** Between two looks at whether all tasks have ended. */
const pollMs = 50;

/** Starts a proxy: resolves once it listens for its agent and for callers, rejects when an address cannot be listened on. */
export async function startProxy(options: StartProxyOptions): Promise<Running> {
  const { bootSettings, http, serve } = options;
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
  const stopServing = await serve({ bootSettings, proxy, instance, clock, counters });
  log.info(`callers at ${http}`);
  timeline.reach('listening');
  return {
    leave: async (graceMs) => {
      const startMs = clock.nowMs();
      await drain(proxy, clock, graceMs);
      reportShutdown(proxy.running, clock.nowMs() - startMs, counters, log);
      proxy.finish();
      await replicas.close();
      await stopServing();
      transport.close();
    },
  };
}

function settingsOf({ bootSettings, beside, headerNames }: StartProxyOptions) {
  const { name, zone, seeds, heartbeatMs, failureTimeoutMs } = bootSettings;
  return { front: name, zone, seeds, heartbeatMs, failureTimeoutMs, agent: beside, headerNames: headerNames ?? defaultHeaderNames };
}

/** Serves on until the tasks in flight have ended and the platform had time to see that the proxy leaves, or the grace is over. */
async function drain(proxy: FrontProxy, clock: Clock, graceMs: number): Promise<void> {
  proxy.leave();
  const untilMs = clock.nowMs() + graceMs;
  const noticeUntilMs = clock.nowMs() + Math.min(graceMs / noticeDivisor, maxNoticeMs);
  while (clock.nowMs() < untilMs && (proxy.running > 0 || clock.nowMs() < noticeUntilMs)) {
    // Returned leases take a moment to be written, and that too must end within the grace period.
    if (untilMs - clock.nowMs() < graceMs * haltRatio) proxy.halt();
    await pause(clock, pollMs);
  }
}

/** Logs how the wait for requests in flight ended: with a warning where some are given up. */
function reportShutdown(inFlight: number, tookMs: number, counters: Counters, log: Log): void {
  const onOpen = counters.get(shutdownCounters.onOpenConnection);
  const onNew = counters.get(shutdownCounters.onNewConnection);
  const arrivals = `${onOpen} requests came on open connections and ${onNew} on new ones`;
  const line = `ends ${Math.round(tookMs)} ms after the signal with ${inFlight} requests in flight; meanwhile ${arrivals}`;
  if (inFlight > 0) log.warn(line);
  else log.info(line);
}
