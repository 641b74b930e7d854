import { describe, it } from 'node:test';
import { expectDay } from '../src/index.js';

describe('days on which processes are killed and machines stand still', () => {
  for (const [seed, faults] of [
    [11, ['killDispatcher', 'killConfigurationLeader']],
    [12, ['killFront', 'killStore', 'killController']],
    [13, ['freezeDispatcher', 'freezeFront']],
    [14, ['freezeConfigurationLeader', 'freezeStore']],
    [35, ['freezeStore', 'killController', 'freezeFront', 'controllersCutOff']],
  ] as const) {
    it(`${faults.join(', ')} under seed ${seed}`, () => expectDay(seed, faults));
  }
});
