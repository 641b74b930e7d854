import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { circlesOf, importsOf, upwardImports } from '../checks/importGraph.mjs';

describe('the graph of imports', () => {
  it('holds relative imports as paths, and imports of packages by name', () => {
    const text =
      "import a from './a.js';\nimport type { B } from '../b/index.js';\nexport * from './c.js';\nimport fs from 'node:fs';\nimport { x } from '@pewterlanding/model';\n";
    assert.deepEqual(importsOf('packages/p/src/d/e.ts', text), [
      'packages/p/src/d/a.ts',
      'packages/p/src/b/index.ts',
      'packages/p/src/d/c.ts',
      '@pewterlanding/model',
    ]);
  });

  it('names the files of a circle, and none where there is none', () => {
    const graph = new Map([
      ['a', ['b']],
      ['b', ['c']],
      ['c', ['a']],
      ['d', ['a', 'e']],
      ['e', []],
    ]);
    assert.deepEqual(circlesOf(graph), [['a', 'b', 'c']]);
    assert.deepEqual(
      circlesOf(
        new Map([
          ['a', ['b']],
          ['b', []],
        ]),
      ),
      [],
    );
  });

  it('finds an import of a package in a later layer', () => {
    const folderOf = new Map([
      ['@pewterlanding/proxy', 'programs/proxy'],
      ['@pewterlanding/model', 'packages/model'],
    ]);
    const graph = new Map([
      ['packages/p/src/a.ts', ['@pewterlanding/proxy']],
      ['programs/proxy/src/a.ts', ['@pewterlanding/model']],
    ]);
    assert.deepEqual(upwardImports(graph, folderOf), ['packages/p/src/a.ts: imports @pewterlanding/proxy, which stands above it']);
  });
});
