import type { FieldRenamings } from '../documents/index.js';

/** Renamings from version 1 of the configuration's format, which operators' documents may use for one more version. */
export const configurationFormat1: FieldRenamings = {
  branches: 'quotas',
  lotShards: 'batchShards',
  mark: 'revision',
  words: 'sourceDocument',
  bounds: {
    fields: {
      freshMs: 'freshnessMs',
      lotCap: 'batchConcurrencyLimit',
      lotFloor: 'batchFloorRatio',
      lotKeepMs: 'batchKeepMs',
      requeueTries: 'requeueAttempts',
    },
  },
  services: { record: true, fields: { circuits: 'connections', repeatable: 'idempotent', words: 'sourceDocument' } },
  routes: {
    record: true,
    fields: {
      branch: 'quota',
      cutoffMs: 'timeoutMs',
      kind: { values: { lot: 'batch' } },
      lot: 'batch',
      repeatable: 'idempotent',
      services: { fields: { gain: 'weight' } },
      setpointMs: 'latencyTargetMs',
      tries: 'attempts',
      words: 'sourceDocument',
    },
  },
};
