import type { SelectionWorkload } from './selectionWorkload.js';

const manyFronts: SelectionWorkload = {
  seed: 1,
  seconds: 20,
  fronts: 75,
  zones: 4,
  replicas: 62,
  slotsOfReplica: 12,
  memoryTokens: 317_000,
  promptTokensPerMs: 128,
  targetMs: 259,
  live: { perS: 286, promptTokens: 543, runMs: 550 },
  documents: { perS: 64, promptTokens: 3720, runMs: 240, count: 342, sharedTokens: 13_300 },
  batches: { perS: 5.8, items: 30, runMs: 1350, dueMs: 10_000 },
  crowd: { fromS: 8, forS: 3, factor: 6 },
  maxWaitingItems: 1480,
  reportMs: 940,
  reportDelayMs: 100,
  idleMs: 600,
  isStaffed: true,
  knowsConnections: true,
};

const fewFronts: SelectionWorkload = {
  ...manyFronts,
  fronts: 7,
  zones: 3,
  replicas: 13,
  slotsOfReplica: 16,
  memoryTokens: 232_000,
  promptTokensPerMs: 155,
  targetMs: 200,
  live: { perS: 99, promptTokens: 543, runMs: 430 },
  documents: { perS: 15, promptTokens: 3720, runMs: 200, count: 100, sharedTokens: 13_300 },
  batches: { perS: 3, items: 20, runMs: 1000, dueMs: 8000 },
  maxWaitingItems: 410,
  reportMs: 300,
};

const largeFleet: SelectionWorkload = {
  ...manyFronts,
  fronts: 165,
  replicas: 90,
  slotsOfReplica: 16,
  live: { perS: 350, promptTokens: 543, runMs: 600 },
  reportMs: 2000,
};

/** Deployments of different shapes, each with a crowd of batches. */
export const selectionWorkloads = { manyFronts, fewFronts, largeFleet } as const;
