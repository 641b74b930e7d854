import * as v from 'valibot';
import { selectItems } from '@pewterlanding/controller';
import { QuotaName, BatchId, ServiceName } from '@pewterlanding/model';
import { QuotaTree, Counter } from '@pewterlanding/rate-limit';
import { SimRun } from '../simulation/index.js';

const spanMs = 10_000;

/** Counts, in virtual time, of what the control plane sends as the fleet and its waiting work grow. */
export async function scale(seed: number, print: (line: string) => void): Promise<void> {
  print('at rest, by fronts: messages, bytes, beats, news and comparisons a second, each for one node');
  for (const fronts of [4, 8, 16, 32, 100]) {
    const run = new SimRun({ seed, fronts });
    await run.begin(false);
    const before = counts(run);
    await run.advance(spanMs);
    const after = counts(run);
    const nodes = fronts + 6;
    const keys = ['messages', 'bytes', 'heartbeats', 'update', 'compared'] as const;
    const each = (key: keyof typeof after): string => ((((after[key] - before[key]) / spanMs) * 1000) / nodes).toFixed(1);
    print(`${fronts} fronts: ${keys.map((key) => `${each(key)} ${key}`).join(', ')}`);
  }
  print('by branches and waiting items: accounts that one tick looks at');
  for (const [quotas, items] of [
    [10, 200],
    [100, 200],
    [1000, 200],
    [3000, 200],
    [1000, 2000],
  ] as const) {
    const { looks, chosen } = tickLooks(quotas, items);
    print(`${quotas} branches, ${items} items: ${looks} looks, ${chosen} items claimed`);
  }
  print('by waiting items, budget-limited: bytes a second in all');
  for (const itemsPerBatch of [10, 100, 500]) {
    const run = new SimRun({ seed, tasks: 1, batches: 1, itemsPerBatch, requestsPerMinute: 600 });
    await run.begin();
    // Let it lie: no more batches, no readers, only what waits.
    run.traffic.stop();
    await run.advance(2000);
    const before = counts(run);
    await run.advance(spanMs);
    const after = counts(run);
    const rate = (key: 'bytes' | 'messages'): number => Math.round(((after[key] - before[key]) / spanMs) * 1000);
    print(`${itemsPerBatch * 10} items: ${rate('bytes')} bytes, ${rate('messages')} messages`);
  }
}

/** How many accounts one tick of the dispatcher looks at, with work waiting in every tenth branch. */
function tickLooks(quotas: number, items: number): { readonly looks: number; readonly chosen: number } {
  const names = Array.from({ length: quotas }, (_, position) => v.parse(QuotaName, `b${position}`));
  const tree = new QuotaTree(new Map(names.map((name) => [name, { share: 1 / quotas, lends: true }])));
  const ceiling = { requests: quotas * 600, tokens: quotas * 600_000 };
  const rules = { ceiling, tree, waitingRatio: 0.05, liveRatio: 0.5, fallbackRatio: 0.5, fronts: 1, frontSilenceMs: 1000 };
  const counter = new Counter(rules, 0);
  const waiting = names.filter((_, position) => position % 10 === 0);
  const nowMs = 10_000;
  counter.heard('f', nowMs);
  counter.watch(nowMs);
  const before = counter.looks;
  counter.tick(new Set(waiting), nowMs);
  const batch = v.parse(BatchId, 'lot_x');
  const service = v.parse(ServiceName, 's');
  const chosen = selectItems({
    items: Array.from({ length: items }, (_, position) => {
      const quota = waiting[position % waiting.length] ?? v.parse(QuotaName, 'b0');
      return {
        ref: { batch, position },
        quota,
        service,
        tokens: 100,
        queuedAtMs: position,
        dueAtMs: position,
        attempts: 0,
        shard: 'lots-0',
      };
    }),
    out: new Map(),
    share: (quota) => counter.shareOf(quota),
    poolOf: (one) => one,
    roomOf: () => items,
    capacity: (quota, tokens) => counter.capacity(quota, { requests: 1, tokens }, nowMs),
    gap: items,
  });
  for (const item of chosen) counter.reserve(`${item.ref.position}`, item.quota, { requests: 1, tokens: item.tokens }, nowMs);
  return { looks: counter.looks - before, chosen: chosen.length };
}

function counts(run: SimRun) {
  let heartbeats = 0;
  let update = 0;
  let compared = 0;
  for (const host of run.fleet.hosts.values()) {
    heartbeats += host.process?.counters.get('membership.beatsSent') ?? 0;
    update += host.process?.counters.get('membership.newsSent') ?? 0;
    compared += host.process?.counters.get('membership.compared') ?? 0;
  }
  return { messages: run.fleet.net.messages, bytes: run.fleet.net.bytes, heartbeats, update, compared };
}
