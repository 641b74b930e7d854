import { join } from 'node:path';
import { request } from 'undici';
import type { Address } from '@pewterlanding/model';
import { seededRandom } from '@pewterlanding/runtime';
import { HarnessError } from '../errors/index.js';
import { Fleet } from '../fleet/fleet.js';
import { freeNet } from '../fleet/freeNet.js';
import { Operator } from '../fleet/operator.js';
import { readDeployment } from '../fleet/readDeployment.js';
import { SoakEvents } from './soakEvents.js';
import { soakFindings } from './soakFindings.js';
import { SoakHistory } from './soakHistory.js';
import { StayingClient } from './stayingClient.js';

interface SoakDayOptions {
  /** Folder of the deployment. */
  readonly deployment: string;
  readonly data: string;
  readonly seed: number;
  /** Proxy machines of the deployment that are started. */
  readonly proxies: number;
  readonly clients: number;
  /** Series of events beside each other, and events in each. */
  readonly series: number;
  readonly events: number;
}

interface SoakResult {
  readonly findings: ReturnType<typeof soakFindings>;
  readonly requests: number;
  readonly events: readonly string[];
}

const readinessMs = 500;
const liveServices = ['triage', 'referral', 'slots'];
/** Seeds that run beside each other use networks of their own. */
const firstNet = 100;
const netCount = 100;

/** Real processes whose clients stay on their connections while machines are restarted, killed and reconfigured in overlapping series. */
export async function soakDay(options: SoakDayOptions): Promise<SoakResult> {
  const random = seededRandom(options.seed);
  const history = new SoakHistory();
  const { fleet, configuration } = await smallFleet(options, random, history);
  const operator = new Operator(fleet, () => undefined);
  let ready: readonly Address[] = fleet.fronts();
  const polling = setInterval(() => void readyProxies(fleet).then((found) => (ready = found)), readinessMs);
  const machines = new Map([...fleet.fronts()].map((address, position) => [address, `front-${position + 1}`]));
  const clients = Array.from(
    { length: options.clients },
    (_, position) =>
      new StayingClient({
        name: `client-${position}`,
        quota: 'liege/desk',
        services: liveServices,
        ready: () => ready,
        machineOf: (proxy) => machines.get(proxy) ?? proxy,
        random: seededRandom(options.seed * 1000 + position),
        history,
      }),
  );
  try {
    await fleet.start();
    if ((await operator.first(configuration)) === undefined) throw new HarnessError('the first configuration was not confirmed');
    await fleet.open();
    const running = clients.map((client) => client.run());
    const busy = new Set<string>();
    const series = Array.from({ length: options.series }, (_, position) => {
      const drawn = seededRandom(options.seed * 100 + position);
      return new SoakEvents({ fleet, operator, random: drawn, history }, busy).run(options.events);
    });
    await Promise.all(series);
    for (const client of clients) client.stop();
    await Promise.all(running);
    for (const [key, daemon] of fleet.daemons) if (!daemon.isRunning) history.gone.push(`${key}/${daemon.program}`);
  } finally {
    clearInterval(polling);
    for (const client of clients) client.stop();
    for (const rude of await fleet.stop()) history.ends.push({ process: rude, exitCode: 1 });
    await fleet.wipe();
  }
  return { findings: soakFindings(history), requests: history.told.length, events: history.events };
}

async function smallFleet({ deployment: folder, data, seed, proxies }: SoakDayOptions, random: () => number, history: SoakHistory) {
  const read = await readDeployment(folder, { net: await freeNet(firstNet + (seed % netCount)) });
  const isStarted = (key: string): boolean => !key.startsWith('front-') || Number(/^front-(\d+)/.exec(key)?.[1]) <= proxies;
  const processes = read.deployment.processes.filter(({ bootSettings }) => isStarted(bootSettings));
  const fleet = new Fleet({
    ...read,
    deployment: { ...read.deployment, processes },
    folder: join(data, `soak-${seed}`),
    random,
    ran: ({ key }) => history.ran.add(key),
  });
  return { fleet, configuration: read.configuration };
}

/** The proxies that say that they are ready; all of them where none does. */
async function readyProxies(fleet: Fleet): Promise<readonly Address[]> {
  const all = fleet.fronts();
  const isReady = await Promise.all(
    all.map(async (proxy) => {
      const response = await request(`http://${proxy}/ready`, { headersTimeout: readinessMs, reset: true }).catch(() => undefined);
      await response?.body.dump().catch(() => undefined);
      return response?.statusCode === 200;
    }),
  );
  const ready = all.filter((_, position) => isReady[position]);
  return ready.length > 0 ? ready : all;
}
