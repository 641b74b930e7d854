import { ShardMap } from '@pewterlanding/consensus';
import { startMembership } from '@pewterlanding/membership';
import type { Membership } from '@pewterlanding/membership';
import { Counters, exitOnFatalError, nodeLog, NodeDisk, pause, StartupTimeline, SystemClock, TcpTransport } from '@pewterlanding/runtime';
import type { Address } from '@pewterlanding/model';
import type { BootSettings, Clock, Running } from '@pewterlanding/runtime';
import { BatchStore } from './service/index.js';

interface StartStoreOptions {
  readonly bootSettings: BootSettings;
  readonly dataFolder: string;
  /** Serves the status page, if the boot file names an address for it. */
  readonly serve?: (address: Address, status: () => Promise<unknown>) => Promise<{ readonly close: () => Promise<unknown> }>;
}

/** Starts a store node and resolves once it listens. */
export async function startStore({ bootSettings, dataFolder, serve }: StartStoreOptions): Promise<Running> {
  const clock = new SystemClock();
  const counters = new Counters();
  const log = nodeLog(`${bootSettings.name}/store`, bootSettings.logLevel);
  const timeline = new StartupTimeline({ clock, log });
  timeline.reach('settings read');
  const transport = transportOf(bootSettings, clock, counters);
  const membership = startMembership(bootSettings, 'store', { clock, transport, counters, log });
  const bounds = { failureTimeoutMs: bootSettings.failureTimeoutMs, compactBytes: 16 << 20 };
  const store = new BatchStore({
    membership,
    clock,
    transport,
    disk: new NodeDisk(dataFolder),
    bounds,
    counters,
    log,
    fatal: exitOnFatalError(log),
  });
  await transport.listen();
  timeline.reach('listening');
  awaitStages(timeline, membership);
  const status = async (): Promise<unknown> => ({
    name: bootSettings.name,
    shards: (await store.shards()).map(({ member }) => member.view()),
    startup: timeline.stages(),
    counters: counters.all(),
  });
  const served = bootSettings.http === undefined ? undefined : await serve?.(bootSettings.http, status);
  return {
    leave: async () => {
      await store.leave();
      await pause(clock, 50);
      store.close();
      await served?.close();
      transport.close();
    },
  };
}

function awaitStages(timeline: StartupTimeline, membership: Membership): void {
  timeline.await('first peer heard', () => membership.live().length > 1);
  // A new leader publishes its shard's members in the shared state.
  timeline.await('shard leader known', () => !membership.stateTable.withPrefix(ShardMap.groupKey('lots-')).next().done);
  timeline.await('configuration held', () => membership.stateTable.get(ShardMap.key) !== undefined);
  membership.onUpdate(() => timeline.look());
}

function transportOf({ advertise, listen, fleet }: BootSettings, clock: Clock, counters: Counters): TcpTransport {
  return new TcpTransport({ here: advertise ?? listen, listen, fleet, clock, counters });
}
