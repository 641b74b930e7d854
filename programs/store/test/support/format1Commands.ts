import { format1Records } from './format1Records.js';

const stored = { ref: { lot: 'l', place: 1 }, lease: { epoch: 2, number: 6, front: 'f' } };
const present = { ref: { batch: 'l', position: 1 }, lease: { term: 2, number: 6, front: 'f' } };
const release = { notBeforeMs: 7, tried: true, failed: true, waitMs: 50 };

/** A command of every kind: as format 1 stored it, and in the present format. */
export const format1Commands = [
  {
    stored: { t: 'hand', lot: format1Records.stored, waitingTokens: 50 },
    present: { kind: 'submit', batch: format1Records.present, waitingTokens: 50 },
  },
  { stored: { t: 'end', lot: 'l', atMs: 5, host: 'a.example' }, present: { kind: 'end', batch: 'l', atMs: 5, host: 'a.example' } },
  { stored: { t: 'fence', epoch: 4 }, present: { kind: 'fence', term: 4 } },
  { stored: { t: 'claim', epoch: 2, claims: [stored] }, present: { kind: 'claim', term: 2, claims: [present] } },
  { stored: { t: 'release', ...stored, ...release, maxTries: 3 }, present: { kind: 'release', ...present, ...release, maxAttempts: 3 } },
  { stored: { t: 'start', ...stored }, present: { kind: 'start', ...present } },
  {
    stored: { t: 'close', ...stored, state: 'COMPLETED', result: '{"lot":1}' },
    present: { kind: 'close', ...present, state: 'COMPLETED', result: '{"lot":1}' },
  },
  { stored: { t: 'forget', beforeMs: 9 }, present: { kind: 'forget', beforeMs: 9 } },
  { stored: { t: 'abandon', refs: [stored.ref], version: 3 }, present: { kind: 'abandon', refs: [present.ref], version: 3 } },
  { stored: { t: 'expire', lots: ['l', 'm'] }, present: { kind: 'expire', batches: ['l', 'm'] } },
  { stored: { t: 'drop', lots: ['l'] }, present: { kind: 'drop', batches: ['l'] } },
  { stored: { t: 'lost', ...stored }, present: { kind: 'lost', ...present } },
] as const;
