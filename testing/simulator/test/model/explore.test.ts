import { describe, it } from 'node:test';
import { expect } from 'earl';
import { explore } from '../../src/model/explore.js';
import { explorationScopes } from '../../src/model/explorationScopes.js';

/** A campaign sets EXPLORE_STATES, of each scope. */
const maxStates = Number(process.env['EXPLORE_STATES'] ?? 1500);

describe('all interleavings of a small group', () => {
  for (const scope of explorationScopes)
    it(`keep the invariants: ${scope.name}`, async (test) => {
      const { failure, ...explored } = await explore({ scope, depth: 200, maxStates, settleEvery: 20 });
      test.diagnostic(JSON.stringify(explored));
      expect(failure).toEqual(undefined);
      expect(explored.states > 50).toEqual(true);
    });
});
