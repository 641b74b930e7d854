import { describe, it } from 'node:test';
import { expectDay } from '../src/index.js';

describe('days on which the network is cut', () => {
  for (const [seed, faults] of [
    [31, ['controllersSplit', 'isolateFront']],
    [32, ['controllersCutOff', 'readConfiguration']],
    [33, ['oneWayCut', 'isolateStore']],
    [34, ['loss', 'isolateController']],
  ] as const) {
    it(`${faults.join(', ')} under seed ${seed}`, () => expectDay(seed, faults));
  }
});
