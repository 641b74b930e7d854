import { seededRandom } from '@pewterlanding/runtime';
import * as v from 'valibot';
import { HarnessError } from '../errors/index.js';
import { briefBounds, judge, unreadableSpans, verdictLine } from '../checkers/index.js';
import type { HistoryEvent } from '../history/index.js';
import { fleetFaults } from './fleetFaults.js';
import { LoadGenerator } from './loadGenerator.js';
import { Fleet } from './fleet.js';
import { linkFaults } from './linkFaults.js';
import { Operator } from './operator.js';
import { sleep } from './sleep.js';
import { quantile } from './quantile.js';
import { readDeployment } from './readDeployment.js';
import { waitingShares } from './waitingShares.js';

interface FleetDayOptions {
  readonly folder: string;
  readonly data: string;
  readonly seconds: number;
  readonly seed: number;
  readonly faults: readonly string[];
  readonly net?: number;
  readonly print: (line: string) => void;
}

const ServiceRegistry = v.record(v.string(), v.object({ idempotent: v.boolean(), kind: v.picklist(['streamed', 'whole']) }));
const readBackMs = 2000;
const recoverMs = 34_000;

/** A whole deployment under its traffic: a quiet phase, the faults, the recovery; then the verdicts and figures. */
export async function fleetDay(options: FleetDayOptions): Promise<boolean> {
  const { print, seconds } = options;
  const random = seededRandom(options.seed);
  const history: HistoryEvent[] = [];
  const note = (one: HistoryEvent): void => void history.push(one);
  const links = options.faults.some((name) => name in linkFaults);
  const read = await readDeployment(options.folder, { net: options.net, links });
  const services = Object.entries(v.parse(ServiceRegistry, read.configuration['services']));
  const latency = new Map<string, { readonly atMs: number; readonly waitMs: number }[]>();
  const fleet: Fleet = new Fleet({
    ...read,
    folder: options.data,
    random,
    links,
    ran: (run) => note({ type: 'ran', ...run, quota: drive.quotaOf(run.key) }),
  });
  const { traffic } = read.deployment;
  const drive = new LoadGenerator({
    fleet,
    traffic,
    idempotent: new Set(services.flatMap(([name, service]) => (service.idempotent ? [name] : []))),
    streamed: new Set(services.flatMap(([name, service]) => (service.kind === 'streamed' ? [name] : []))),
    random,
    note,
    told: (record) => {
      if (record.outcome !== 'returned') return;
      const waitMs = (record.firstPieceMs ?? record.atMs) - record.sentMs;
      const known = latency.get(record.service);
      if (known === undefined) latency.set(record.service, [{ atMs: record.sentMs, waitMs }]);
      else known.push({ atMs: record.sentMs, waitMs });
    },
  });
  const operator = new Operator(fleet, note);
  let reading: NodeJS.Timeout | undefined;
  let held = true;
  const spans: { readonly name: string; readonly fromMs: number; readonly toMs: number }[] = [];
  try {
    const startMs = Date.now();
    await fleet.start();
    if ((await operator.first(read.configuration)) === undefined) throw new HarnessError('the setup was not confirmed');
    await fleet.open();
    print(`${fleet.daemons.size} processes, ${fleet.replicas.length} stand-ins up after ${((Date.now() - startMs) / 1000).toFixed(1)} s`);
    drive.start();
    reading = setInterval(() => void operator.readBack(), readBackMs);
    const quietMs = Date.now();
    await sleep(seconds * 1000);
    spans.push({ name: 'quiet', fromMs: quietMs, toMs: Date.now() });
    for (const name of options.faults) {
      const act = fleetFaults[name];
      if (act === undefined) throw new HarnessError(`no fault ${name}`);
      const fromMs = Date.now();
      note({ type: 'faulted', atMs: fromMs, what: name });
      let took = false;
      const say2 = (target: string, evidence: string): void => {
        took = true;
        print(`fault ${name} at ${target}: ${evidence}`);
      };
      await act({ fleet, load: drive, operator, traffic, random, note, noteEffect: say2 });
      if (!took) {
        held = false;
        print(`fault ${name}: DID NOTHING`);
      }
      spans.push({ name, fromMs, toMs: Date.now() });
    }
    note({ type: 'repaired', atMs: Date.now() });
    await sleep(recoverMs);
    drive.stop();
    for (let waits = 0; waits < 60 && drive.openBatches() > 0; waits += 1) await sleep(500);
    await sleep(3000);
  } finally {
    clearInterval(reading);
    drive.stop();
    await drive.close();
    const clean = (await fleet.stop()).length === 0;
    print(clean ? 'every process ended politely' : 'some process did not end politely');
  }
  report(history, print);
  for (const [service, times] of latency) {
    for (const { name, fromMs, toMs } of spans) {
      const sorted = times.flatMap((one) => (one.atMs >= fromMs && one.atMs < toMs ? [one.waitMs] : [])).sort((a, b) => a - b);
      if (sorted.length > 0)
        print(`  ${service} in ${name}: ${sorted.length}, first byte p50 ${quantile(sorted, 0.5)} ms, p99 ${quantile(sorted, 0.99)} ms`);
    }
  }
  print(`lots not read to the end: ${drive.openBatches()}`);
  const verdicts = judge(history, {
    ...briefBounds,
    takeoverMs: briefBounds.recoveryMs,
    shares: waitingShares(read.configuration, traffic),
  });
  for (const verdict of verdicts) print(verdictLine(verdict));
  return held && verdicts.every(({ violations }) => violations.length === 0);
}

function report(history: readonly HistoryEvent[], print: (line: string) => void): void {
  const outcomes: Record<string, number> = {};
  let accepted = 0;
  for (const one of history) {
    if (one.type === 'told') {
      const outcome = one.outcome === 'refused' ? `refused ${one.status ?? 0}` : one.outcome;
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
    }
    if (one.type === 'batchAccepted') accepted += 1;
  }
  const told = Object.entries(outcomes).map(([outcome, count]) => `${outcome} ${count}`);
  const waits = unreadableSpans(
    [...history].sort((a, b) => a.atMs - b.atMs),
    briefBounds.batchReadableMs,
  )
    .map((span) => span.waitedMs)
    .sort((a, b) => a - b);
  print(`live: ${told.join(', ')}`);
  print(`lots: ${accepted} accepted; the longest any could not be read, after its first second: ${Math.round(waits.at(-1) ?? 0)} ms`);
}
