import { startMembership } from '@pewterlanding/membership';
import { Counters, nodeLog, pause, StartupTimeline, SystemClock, TcpTransport } from '@pewterlanding/runtime';
import type { Address } from '@pewterlanding/model';
import type { BootSettings, Running } from '@pewterlanding/runtime';
import { Agent } from './agent.js';
import { updateKeys } from './sharedState/index.js';

interface StartAgentOptions {
  readonly bootSettings: BootSettings;
  /** The proxy's own address. */
  readonly beside: Address;
}

/** Starts an agent and resolves once it listens. */
export async function startAgent({ bootSettings, beside }: StartAgentOptions): Promise<Running> {
  const clock = new SystemClock();
  const counters = new Counters();
  const log = nodeLog(`${bootSettings.name}/agent`, bootSettings.logLevel);
  const timeline = new StartupTimeline({ clock, log });
  timeline.reach('settings read');
  const transport = new TcpTransport({
    here: bootSettings.advertise ?? bootSettings.listen,
    listen: bootSettings.listen,
    fleet: bootSettings.fleet,
    clock,
    counters,
  });
  const membership = startMembership(bootSettings, 'agent', { clock, transport, counters, log });
  const agent = new Agent({ membership, clock, transport, proxy: beside, heartbeatMs: bootSettings.heartbeatMs, counters, log });
  await transport.listen();
  timeline.reach('listening');
  timeline.await('first peer heard', () => membership.live().length > 1);
  timeline.await('configuration held', () => membership.stateTable.get(updateKeys.configuration) !== undefined);
  timeline.await('replicas known', () => !membership.stateTable.withPrefix(updateKeys.replicas).next().done);
  membership.onUpdate(() => timeline.look());
  return {
    leave: async (graceMs) => {
      // The proxy gets the same signal, and needs updates until it has finished.
      const untilMs = clock.nowMs() + graceMs;
      while (clock.nowMs() < untilMs && agent.proxyHeard && !agent.left) await pause(clock, 50);
      membership.leave();
      await pause(clock, 50);
      agent.close();
      transport.close();
    },
  };
}
