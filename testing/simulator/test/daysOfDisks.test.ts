import { describe, it } from 'node:test';
import { expectDay } from '../src/index.js';

describe('days on which disks are slow, lost, damaged or lose their power', () => {
  for (const [seed, faults] of [
    [21, ['slowDisk', 'power']],
    [22, ['loseDisk']],
    [209, ['power', 'replicaDark', 'isolateFront', 'slowDisk', 'freezeDispatcher', 'controllersCutOff']],
    [23, ['damageDisk', 'readConfiguration']],
  ] as const) {
    it(`${faults.join(', ')} under seed ${seed}`, () => expectDay(seed, faults));
  }
});
