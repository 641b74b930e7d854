import type { FieldRenamings } from '../documents/fieldRenamings.js';

/** Fields of a configuration as version 1 of its format named them. Operators' documents may use them for one version more. */
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
