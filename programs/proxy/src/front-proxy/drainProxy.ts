import { pause } from '@pewterlanding/runtime';
import type { Clock, Counters, HttpDrain, Log } from '@pewterlanding/runtime';
import { shutdownCounters } from '../connections/shutdownCounters.js';
import type { FrontProxy } from './frontProxy.js';

interface DrainProxyOptions {
  readonly proxy: FrontProxy;
  readonly drain: HttpDrain;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  /** Bound of the whole. */
  readonly graceMs: number;
}

/** A proxy that is not ready still serves for a third of the grace period, at most for so long, until the platform has noticed. */
const maxNoticeMs = 2000;
const noticeRatio = 1 / 3;
/** Part of the grace period, at its end, in which batch items that still run are aborted and their leases returned. */
const haltRatio = 0.1;
/** Between two looks at whether all requests have ended. */
const pollMs = 50;
/** Time for the last responses to reach the network. */
const flushMs = 100;

/**
 * The part of a proxy's shutdown that callers see. First it is not ready, and serves. Then it stops accepting, refuses what comes on open
 * connections, and completes the requests in flight. Those that are left when the grace period ends are answered with 504.
 */
export async function drainProxy(options: DrainProxyOptions): Promise<void> {
  const { proxy, drain, clock, graceMs } = options;
  const startMs = clock.nowMs();
  const untilMs = startMs + graceMs;
  proxy.leave();
  await pause(clock, Math.min(graceMs * noticeRatio, maxNoticeMs));
  drain.begin();
  const isBusy = (): boolean => drain.openRequests > 0 || proxy.running > 0;
  while (clock.nowMs() < untilMs && isBusy()) {
    // Returned leases take a moment to be written, and that too must end within the grace period.
    if (untilMs - clock.nowMs() < graceMs * haltRatio) proxy.halt();
    await pause(clock, pollMs);
  }
  report(options, clock.nowMs() - startMs);
  if (drain.openRequests === 0) return;
  proxy.abortRequests();
  await pause(clock, flushMs);
}

/** Logs how the wait ended: with a warning where requests are given up. */
function report({ drain, counters, log }: DrainProxyOptions, tookMs: number): void {
  const onOpen = counters.get(shutdownCounters.onOpenConnection);
  const onNew = counters.get(shutdownCounters.onNewConnection);
  const arrivals = `${onOpen} requests came on open connections and ${onNew} on new ones`;
  const line = `ends ${Math.round(tookMs)} ms after the signal with ${drain.openRequests} requests in flight; meanwhile ${arrivals}`;
  if (drain.openRequests > 0) log.warn(line);
  else log.info(line);
}
