import { spawnSync } from 'node:child_process';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ScratchTree } from '../../src/mutation/scratchTree.js';
import { modelMutations } from '../../src/model/modelMutations.js';

const root = join(dirname(fileURLToPath(import.meta.url)), '../../../../..');

/** Runs the model of a tree as a process of its own, up to the first case that fails. */
function run(tree: string, tolerance: number, seed: number, cases: number): string {
  const script = `import * as fc from 'fast-check';
    import { runModel } from './testing/simulator/dist/src/model/runModel.js';
    fc.configureGlobal({ endOnFailure: true });
    await runModel({ tolerance: ${tolerance}, seed: ${seed}, cases: ${cases} }).then(
      () => console.log('green'),
      (error) => console.log('red', error.message),
    );`;
  return spawnSync(process.execPath, ['--input-type=module', '-e', script], { cwd: tree, encoding: 'utf8' }).stdout;
}

describe('the model of the consensus, with a guard taken out of a copy of the built tree', () => {
  for (const mutation of modelMutations)
    it(`fails: ${mutation.name}`, async () => {
      const tree = await ScratchTree.copy(root);
      try {
        await tree.apply({ ...mutation, rule: '', scenario: '', seeds: [] });
        expect(run(tree.folder, mutation.tolerance, mutation.seed, mutation.cases)).toEqual(expect.regex(/^red Property failed/));
      } finally {
        await tree.remove();
      }
    });
});
