import { existsSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { checkers, mutations, runMutations, scenarios, ScratchTree } from '../src/index.js';

const root = join(dirname(fileURLToPath(import.meta.url)), '../../../..');

/** A scenario of the simulator, or a test file that was built. */
const known = (scenario: string): boolean => scenario in scenarios || (scenario.endsWith('.test.js') && existsSync(join(root, scenario)));

describe('guards taken out of a copy of the built tree', () => {
  it('are named once, each for a known rule and scenario, and one of each rule runs in CI', () => {
    expect(new Set(mutations.map((mutation) => mutation.name)).size).toEqual(mutations.length);
    for (const mutation of mutations)
      expect([mutation.rule in checkers, known(mutation.scenario), mutation.seeds.length >= 2]).toEqual([true, true, true]);
    expect(mutations.flatMap((mutation) => (mutation.ci === true ? [mutation.rule] : [])).sort()).toEqual(Object.keys(checkers).sort());
  });

  it('are refused with their place when their text is not in the file', async () => {
    const tree = await ScratchTree.copy(root);
    const mutation = {
      name: 'old',
      rule: '',
      scenario: '',
      seeds: [],
      edits: [{ file: 'programs/proxy/dist/src/forwarding/forwarder.js', text: 'no such line', instead: '' }],
    };
    await expect(tree.apply(mutation)).toBeRejectedWith('old: programs/proxy/dist/src/forwarding/forwarder.js');
    await tree.remove();
  });

  it('break their rule when out and keep it when in, one for each line of what must never happen', async () => {
    const chosen = mutations
      .filter((mutation) => mutation.ci === true)
      .map((mutation) => ({ ...mutation, seeds: mutation.seeds.slice(0, 1) }));
    const lines: string[] = [];
    const outcomes = await runMutations(root, chosen, (line) => lines.push(line));
    if (outcomes.some((one) => !one.detected)) throw new Error(lines.join('\n'));
    expect(outcomes.length).toEqual(Object.keys(checkers).length);
  });
});
