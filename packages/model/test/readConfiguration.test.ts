import { describe, it } from 'node:test';
import { expect } from 'earl';
import { readConfiguration } from '../src/index.js';

const present = {
  bounds: {
    freshnessMs: 1000,
    batchConcurrencyLimit: 10,
    batchFloorRatio: 0.2,
    batchKeepMs: 60_000,
    requeueAttempts: 3,
  },
  quotas: { q: { share: 0.5 } },
  services: {
    s: { kind: 'whole', idempotent: true, replicas: { maxSlots: 4 }, connections: 9, sourceDocument: { mark: 1 } },
  },
  routes: {
    r: {
      host: 'a.example',
      prefix: '/p/',
      kind: 'batch',
      idempotent: true,
      services: [{ service: 's', weight: 2 }],
      timeoutMs: 500,
      latencyTargetMs: 100,
      attempts: 2,
      batch: { dueMs: 900 },
      quota: 'q',
      sourceDocument: { tries: 2 },
    },
  },
  revision: 7,
  sourceDocument: { words: 'kept' },
  batchShards: 2,
};

const version1 = {
  bounds: { freshMs: 1000, lotCap: 10, lotFloor: 0.2, lotKeepMs: 60_000, requeueTries: 3 },
  branches: { q: { share: 0.5 } },
  services: { s: { kind: 'whole', repeatable: true, replicas: { maxSlots: 4 }, circuits: 9, words: { mark: 1 } } },
  routes: {
    r: {
      host: 'a.example',
      prefix: '/p/',
      kind: 'lot',
      repeatable: true,
      services: [{ service: 's', gain: 2 }],
      cutoffMs: 500,
      setpointMs: 100,
      tries: 2,
      lot: { dueMs: 900 },
      branch: 'q',
      words: { tries: 2 },
    },
  },
  mark: 7,
  words: { words: 'kept' },
  lotShards: 2,
};

function placesOf(document: unknown): readonly string[] {
  const read = readConfiguration(document);
  return read.ok ? [] : read.findings.map((finding) => finding.place);
}

describe('readConfiguration', () => {
  it('reads a version-1 document as the present one, and leaves operators’ source documents untouched', () => {
    const old = readConfiguration(version1);
    expect(old.ok).toEqual(true);
    expect(old).toEqual(readConfiguration(present));
    const kept = old.ok ? [old.value.sourceDocument, ...Object.values(old.value.routes).map((route) => route.sourceDocument)] : [];
    expect(kept).toEqual([{ words: 'kept' }, { tries: 2 }]);
  });

  it('refuses a document with both names of a field, by the old name', () => {
    expect(placesOf({ ...present, branches: { other: { share: 1 } } })).toEqual(['branches']);
  });

  it('refuses an unknown setting by its name, at each level', () => {
    expect(placesOf({ ...present, unknownSetting: 1 })).toEqual(['unknownSetting']);
    expect(placesOf({ ...present, bounds: { unknownBound: 1 } })).toEqual(['bounds.unknownBound']);
  });
});
