import { describe, it } from 'node:test';
import { expectDay } from '../src/index.js';

describe('days of crowds, replicas that go, and operators', () => {
  for (const [seed, faults] of [
    [41, ['crowd', 'replicaCrash']],
    [42, ['replicasRoll', 'replicaDark']],
    [43, ['operatorsRace', 'configurationBurst', 'killConfigurationLeader']],
    [1, ['replicasRoll', 'killController', 'loss', 'replicasRoll', 'killFront', 'freezeDispatcher']],
  ] as const) {
    it(`${faults.join(', ')} under seed ${seed}`, () => expectDay(seed, faults));
  }
});
