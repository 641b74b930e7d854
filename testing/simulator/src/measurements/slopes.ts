import { Encoder } from 'cbor-x';
import * as v from 'valibot';
import { updateKeys } from '@pewterlanding/agent';
import { RoutingState } from '@pewterlanding/proxy';
import { QuotaName, NodeName, Configuration } from '@pewterlanding/model';
import { SystemClock } from '@pewterlanding/runtime';
import { QuotaTree, Counter } from '@pewterlanding/rate-limit';
import { BatchCommand, BatchShard } from '@pewterlanding/store';
import { spanOf } from '../hollow/index.js';

const runs = 5;
const encoder = new Encoder({ useRecords: false });
const inputBytes = 800;
const resultBytes = 200;

/** What one process of each role holds and works, at five sizes each: the slopes that docs/CAPACITY.md adds up. */
export async function slopes(print: (line: string) => void): Promise<void> {
  for (const items of [1000, 3000, 10_000, 30_000, 100_000]) batchItems(items, print);
  for (const items of [100, 1000, 3000, 10_000, 30_000]) batchOfOne(items, print);
  for (const tenants of [62, 155, 310, 620, 1240]) configurationOf(tenants, print);
  for (const tenants of [62, 155, 310, 620, 1240]) lenders(tenants, print);
  for (const fronts of [7, 20, 61, 120, 350]) draws(fronts, print);
  for (const fronts of [7, 20, 61, 120, 350]) tables(fronts, print);
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function timed(run: () => void): number {
  const fromMs = performance.now();
  run();
  return performance.now() - fromMs;
}

const several = (run: () => void): readonly number[] => Array.from({ length: runs }, () => timed(run));
const perSpan = (times: readonly number[], each: number): string => spanOf(times.map((time) => (time * 1000) / each)).replace('ms', 'us');

function batchOf(id: string, items: number): unknown {
  const one = (position: number): unknown => ({
    id: `i${position}`,
    input: 'x'.repeat(inputBytes - 8) + String(position).padStart(8, '0'),
    state: 'QUEUED',
    queuedAtMs: 1000,
    notBeforeMs: 0,
    attempts: 0,
  });
  return {
    kind: 'submit',
    batch: {
      id,
      quota: 'b',
      service: 's',
      bodyHash: 'h',
      idempotent: true,
      createdMs: 1000,
      outputTokens: 10,
      bytesPerToken: 4,
      items: Array.from({ length: items }, (_, position) => one(position)),
    },
  };
}

/** A shard of batches with so many items, taken from hand-in to their results. */
function batchItems(items: number, print: (line: string) => void): void {
  const before = heapBytes();
  const shard = new BatchShard();
  const perBatch = 200;
  let written = 0;
  const run = (raw: unknown): void => {
    const bytes = encoder.encode(raw);
    written += bytes.length;
    shard.apply(v.parse(BatchCommand, raw));
  };
  const handMs = timed(() => {
    for (let batch = 0; batch < items / perBatch; batch += 1) run(batchOf(`l${batch}`, perBatch));
  });
  const held = heapBytes() - before;
  const result = 'y'.repeat(resultBytes);
  const runMs = timed(() => {
    for (let position = 0; position < items; position += 1) {
      const ref = { batch: `l${Math.floor(position / perBatch)}`, position: position % perBatch };
      const lease = { term: 1, number: position, front: 'f' };
      run({ kind: 'claim', term: 1, claims: [{ ref, lease }] });
      run({ kind: 'start', ref, lease });
      run({ kind: 'close', ref, lease, state: 'COMPLETED', result });
    }
  });
  const lookMs = several(() => void shard.queued(100, 2000));
  const each = (total: number): string => (total / items).toFixed(1);
  print(
    `lot part, ${items} items of ${inputBytes} bytes: ${each(held)} bytes held each, ${each(written)} written each, ` +
      `${each(handMs * 1000)} us to take in, ${each(runMs * 1000)} us to claim, start and close; a look ${spanOf(lookMs)}`,
  );
}

/** One lot of so many items: its hand-in is one command, one record and one message to each copy. */
function batchOfOne(items: number, print: (line: string) => void): void {
  const raw = batchOf('l', items);
  const bytes = encoder.encode(raw).length;
  const shard = new BatchShard();
  const takeMs = timed(() => void shard.apply(v.parse(BatchCommand, raw)));
  const batch = [...shard.batches.values()][0];
  const viewMs = several(() => void batch?.view());
  print(`one lot of ${items} items: ${bytes} bytes in one command, ${takeMs.toFixed(0)} ms on the loop, a view ${perSpan(viewMs, 1)}`);
}

function configurationText(tenants: number): Record<string, unknown> {
  const models = 12;
  const service = (at: number): [string, unknown] => [
    `m${at}`,
    { kind: 'streamed', idempotent: true, replicas: { maxSlots: 16 }, engine: undefined },
  ];
  return {
    ceiling: { requests: 60_000, tokens: 60_000_000 },
    services: Object.fromEntries(Array.from({ length: models }, (_, at) => service(at))),
    quotas: Object.fromEntries(Array.from({ length: tenants }, (_, at) => [`t${at}`, { share: 1 / tenants }])),
  };
}

function configurationOf(tenants: number, print: (line: string) => void): void {
  const raw = configurationText(tenants);
  const configuration = v.parse(Configuration, raw);
  const bytes = encoder.encode(configuration).length;
  const before = heapBytes();
  const kept = Array.from({ length: 20 }, () => v.parse(Configuration, raw));
  const held = (heapBytes() - before) / kept.length;
  const readMs = several(() => void v.parse(Configuration, raw));
  print(`setup, ${tenants} tenants and 12 models: ${bytes} bytes, ${held.toFixed(0)} held, read in ${perSpan(readMs, 1)}`);
}

function lenders(tenants: number, print: (line: string) => void): void {
  const names = Array.from({ length: tenants }, (_, at) => v.parse(QuotaName, `t${at}`));
  const rules = new Map(names.map((name) => [name, { share: 1 / tenants, lends: true }]));
  const times = several(() => {
    const tree = new QuotaTree(rules);
    for (const name of names) tree.lenders(name);
  });
  print(`branches, ${tenants}: everybody's lenders in ${perSpan(times, 1)}`);
}

/** The counter as 620 tenants' fronts draw from it, each front of ten of them. */
function draws(fronts: number, print: (line: string) => void): void {
  const names = Array.from({ length: 620 }, (_, at) => v.parse(QuotaName, `t${at}`));
  const tree = new QuotaTree(new Map(names.map((name) => [name, { share: 1 / names.length, lends: true }])));
  const ceiling = { requests: 60_000, tokens: 60_000_000 };
  const counter = new Counter({ ceiling, tree, waitingRatio: 0.05, liveRatio: 0.5, fallbackRatio: 0.5, fronts, frontSilenceMs: 1000 }, 0);
  const desired = { requests: 1, tokens: 400 };
  let nowMs = 0;
  const turns = 20;
  const times = several(() => {
    for (let turn = 0; turn < turns; turn += 1)
      for (let front = 0; front < fronts; front += 1) {
        nowMs += 125 / fronts;
        counter.heard(`f${front}`, nowMs);
        counter.watch(nowMs);
        for (let at = 0; at < 10; at += 1) {
          const name = names[(front * 7 + at * 61) % names.length];
          if (name !== undefined) counter.draw(name, desired, desired, nowMs);
        }
      }
  });
  print(`counter, ${fronts} fronts: a draw of ten branches in ${perSpan(times, turns * fronts)}`);
}

/** What a proxy makes of the news: tables of six replicas a front, and every front's use. */
function tables(fronts: number, print: (line: string) => void): void {
  const before = heapBytes();
  const clock = new SystemClock();
  const routingState = new RoutingState({ front: v.parse(NodeName, 'f0'), instance: 'l', clock });
  const configuration = v.parse(Configuration, configurationText(620));
  routingState.apply([{ key: updateKeys.configuration, version: [1, 0], volatile: false, value: { version: 1, configuration } }]);
  const host = (at: number): string => `10.0.${Math.floor(at / 200)}.${(at % 200) + 1}`;
  const replica = (at: number) => {
    const address = `${host(Math.floor(at / 6))}:${9000 + (at % 6)}`;
    return { service: `m${at % 12}`, address, zone: 'z', slots: 16, incarnation: 1, state: 'serving' };
  };
  const rows = Array.from({ length: fronts * 6 }, (_, at) => replica(at));
  routingState.apply(
    rows.map((row) => ({ key: updateKeys.replica(row.service, row.address), version: [1, 0], volatile: false, value: row })),
  );
  const use = (front: number) =>
    Object.fromEntries(Array.from({ length: 8 }, (_, step) => [rows[(front * 31 + step * 7) % rows.length]?.address ?? '', 1]));
  routingState.apply(
    Array.from({ length: fronts }, (_, at) => ({ key: updateKeys.use(`f${at}`), version: [1, 0], volatile: true, value: use(at) })),
  );
  const held = heapBytes() - before;
  const one = encoder.encode({ key: updateKeys.use('front-100'), version: [1_800_000_000_000, 7], volatile: true, value: use(1) }).length;
  const other = encoder.encode({
    key: updateKeys.replica('m1', rows[1]?.address ?? ''),
    version: [1, 0],
    volatile: false,
    value: rows[1],
  }).length;
  const times = several(() => routingState.rebuild());
  print(
    `proxy's tables, ${rows.length} replicas and ${fronts} fronts: ${(held / 2 ** 20).toFixed(2)} MB held, derived in ` +
      `${perSpan(times, 1)}; one front's use ${one} bytes, one announcement ${other}`,
  );
}
