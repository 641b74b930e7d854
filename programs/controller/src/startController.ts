import { updateKeys } from '@pewterlanding/agent';
import { startMembership } from '@pewterlanding/membership';
import type { Membership } from '@pewterlanding/membership';
import { addressParts } from '@pewterlanding/model';
import {
  Counters,
  exitOnFatalError,
  HttpDrain,
  nodeLog,
  NodeDisk,
  pause,
  StartupTimeline,
  SystemClock,
  TcpTransport,
} from '@pewterlanding/runtime';
import type { Address } from '@pewterlanding/model';
import type { BootSettings, Clock, Running, Transport } from '@pewterlanding/runtime';
import type { FastifyInstance } from 'fastify';
import { AuditSigner } from './audit/auditSigner.js';
import { Controller } from './controller.js';
import type { ControllerOptions } from './controllerOptions.js';

/** How long the process stays reachable for other processes after it has left, for answers in flight. */
const lastAnswersMs = 50;
/** Part of the grace period in which calls in flight may end; what is left is for handing over shards and the singleton role. */
const drainRatio = 1 / 3;
/** Between two looks at whether all calls have ended. */
const pollMs = 10;

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
  const drain = drainOf(app);
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
    leave: async (graceMs) => {
      // While this machine still is a member, so that what it has accepted takes effect.
      await endCalls(drain, clock, graceMs * drainRatio);
      await controller.leave();
      await pause(clock, lastAnswersMs);
      await app.close();
      transport.close();
    },
  };
}

/** What shuts the interface down without cutting answers. Calls that come on open connections meanwhile are refused. */
function drainOf(app: FastifyInstance): HttpDrain {
  const drain = new HttpDrain();
  drain.attach(app.server);
  app.addHook('onRequest', async (_request, reply) => {
    if (drain.isBegun) return reply.code(503).header('connection', 'close').send();
    return undefined;
  });
  return drain;
}

/** Stops accepting calls, and waits for those in flight for at most `maxMs` milliseconds. */
async function endCalls(drain: HttpDrain, clock: Clock, maxMs: number): Promise<void> {
  const untilMs = clock.nowMs() + maxMs;
  drain.begin();
  while (drain.openRequests > 0 && clock.nowMs() < untilMs) await pause(clock, pollMs);
}
