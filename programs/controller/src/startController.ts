import { updateKeys } from '@pewterlanding/agent';
import { startMembership } from '@pewterlanding/membership';
import type { Membership } from '@pewterlanding/membership';
import { addressParts } from '@pewterlanding/model';
import { Counters, exitOnFatalError, nodeLog, NodeDisk, pause, StartupTimeline, SystemClock, TcpTransport } from '@pewterlanding/runtime';
import type { Address } from '@pewterlanding/model';
import type { BootSettings, Clock, Running, Transport } from '@pewterlanding/runtime';
import type { FastifyInstance } from 'fastify';
import { AuditSigner } from './audit/auditSigner.js';
import { Controller } from './controller.js';
import type { ControllerOptions } from './controllerOptions.js';

/** How long the process stays reachable after it has left, for answers in flight. */
const drainMs = 50;

interface StartControllerOptions extends Pick<ControllerOptions, 'copies' | 'replicaHeartbeatMs'> {
  readonly bootSettings: BootSettings;
  readonly http: Address;
  readonly dataFolder: string;
  /** Makes the HTTP interface that operators reach at `http`. */
  readonly serve: (parts: {
    readonly bootSettings: BootSettings;
    readonly controller: Controller;
    readonly membership: Membership;
    readonly transport: Transport;
    readonly clock: Clock;
    readonly counters: Counters;
    readonly timeline: StartupTimeline;
  }) => FastifyInstance;
}

/** Starts a controller machine on this process's network and disk. Resolves once it listens; rejects where it cannot. */
export async function startController({ bootSettings, http, dataFolder, serve, ...ground }: StartControllerOptions): Promise<Running> {
  const clock = new SystemClock();
  const counters = new Counters();
  const log = nodeLog(`${bootSettings.name}/controller`, bootSettings.logLevel);
  const timeline = new StartupTimeline({ clock, log });
  timeline.reach('settings read');
  const transport = new TcpTransport({
    here: bootSettings.advertise ?? bootSettings.listen,
    listen: bootSettings.listen,
    fleet: bootSettings.fleet,
    clock,
    counters,
  });
  const membership = startMembership({ ...bootSettings, http }, 'controller', { clock, transport, counters, log });
  const bounds = { failureTimeoutMs: bootSettings.failureTimeoutMs, compactBytes: 16 << 20 };
  const disk = new NodeDisk(dataFolder);
  const signer = await AuditSigner.open(disk, bootSettings.name);
  const controller = new Controller({
    ...ground,
    ...(bootSettings.bootstrap === undefined ? {} : { bootstrap: bootSettings.bootstrap }),
    membership,
    clock,
    transport,
    disk,
    signer,
    bounds,
    heartbeatMs: bootSettings.heartbeatMs,
    seeds: bootSettings.seeds,
    counters,
    log,
    fatal: exitOnFatalError(log),
  });
  await transport.listen();
  const app = serve({ bootSettings, controller, membership, transport, clock, counters, timeline });
  const { host, port } = addressParts(http);
  await app.listen({ host, port });
  log.info(`operators at ${http}`);
  timeline.reach('listening');
  timeline.await('first peer heard', () => membership.live().length > 1);
  timeline.await('shard leader known', () => controller.member?.leaderAddress !== undefined);
  timeline.await('configuration held', () => controller.configuration !== undefined);
  timeline.await('replicas known', () => !membership.stateTable.withPrefix(updateKeys.replicas).next().done);
  membership.onUpdate(() => timeline.look());
  // Bootstrapping waits for the other controller machines; the process serves meanwhile.
  controller.start().catch(exitOnFatalError(log));
  return {
    leave: async () => {
      await controller.leave();
      await pause(clock, drainMs);
      await app.close();
      transport.close();
    },
  };
}
