import { seededRandom } from '@pewterlanding/runtime';
import type { SelectionWorkload } from './selectionWorkload.js';

/** Parts of all slots that live requests, requests with documents and batch items use on average. */
const liveUse = { min: 0.1, max: 0.3 };
const documentUse = { min: 0.01, max: 0.05 };
const batchUse = { min: 0.1, max: 0.35 };

/** A deployment that nobody has seen: sizes, speeds, rates and the crowd drawn by the seed, at loads that its replicas can carry. */
export function drawnWorkload(seed: number): SelectionWorkload {
  const random = seededRandom(seed);
  const between = (min: number, max: number): number => min + (max - min) * random();
  const whole = (min: number, max: number): number => Math.floor(between(min, max + 1));
  const replicas = whole(8, 60);
  const slotsOfReplica = whole(6, 24);
  const slots = replicas * slotsOfReplica;
  const perSOf = (use: { readonly min: number; readonly max: number }, runMs: number): number =>
    (between(use.min, use.max) * slots * 1000) / runMs;
  const live = { promptTokens: whole(100, 1000), runMs: between(200, 900) };
  const documents = { promptTokens: whole(1000, 4000), runMs: between(150, 500), count: whole(50, 400), sharedTokens: whole(4000, 16_000) };
  const batches = { items: whole(10, 60), runMs: between(500, 2000), dueMs: between(6000, 15_000) };
  return {
    seed,
    seconds: 20,
    fronts: whole(4, 60),
    zones: whole(2, 5),
    replicas,
    slotsOfReplica,
    memoryTokens: slotsOfReplica * whole(15_000, 30_000),
    promptTokensPerMs: between(80, 200),
    targetMs: between(180, 500),
    live: { ...live, perS: perSOf(liveUse, live.runMs) },
    documents: { ...documents, perS: perSOf(documentUse, documents.runMs) },
    batches: { ...batches, perS: perSOf(batchUse, batches.runMs) / batches.items },
    crowd: { fromS: 8, forS: between(2, 4), factor: between(3, 8) },
    maxWaitingItems: slots * 2,
    reportMs: between(200, 1500),
    reportDelayMs: 100,
    idleMs: between(400, 3000),
    isStaffed: true,
    knowsConnections: true,
  };
}
