import assert from 'node:assert/strict';
import { readdirSync, readFileSync, statSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { ScratchCheckout } from './scratchCheckout.mjs';

/** Runs `use` with a fresh checkout. */
async function withCheckout(use) {
  const checkout = new ScratchCheckout();
  try {
    await use(checkout);
  } finally {
    checkout.remove();
  }
}

const noSettings = /settings/;

async function assertRolesStart(checkout) {
  for (const [role, stderr] of await checkout.startRoles()) assert.match(stderr, noSettings, `${role}: ${stderr}`);
}

/** Every file below a folder with its bytes, by path. */
function filesOf(folder) {
  return readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && !entry.parentPath.includes('node_modules'))
    .map((entry) => join(entry.parentPath, entry.name));
}

describe('a build by the deploy file', () => {
  it('succeeds three times at once in a clean checkout', () =>
    withCheckout(async (checkout) => {
      const builds = await Promise.all([checkout.build(), checkout.build(), checkout.build()]);
      assert.deepEqual(
        builds.map(({ code }) => code),
        [0, 0, 0],
        builds.map(({ stderr }) => stderr).join('\n'),
      );
      await assertRolesStart(checkout);
      for (const call of checkout.npmCalls) assert.match(call, /^ci .*--ignore-scripts/);
    }));

  it('succeeds after one that was killed while it installed', () =>
    withCheckout(async (checkout) => {
      await checkout.killBuildDuringInstall();
      const { code, stderr } = await checkout.build(0);
      assert.equal(code, 0, stderr);
      await assertRolesStart(checkout);
    }));

  it('changes no file in place that a starting role may read', () =>
    withCheckout(async (checkout) => {
      const first = await checkout.build(0);
      assert.equal(first.code, 0, first.stderr);
      const before = new Map(
        filesOf(checkout.path('target')).map((path) => [path, { inode: statSync(path).ino, bytes: readFileSync(path) }]),
      );
      const changed = checkout.path('platform/src/runRole.ts');
      writeFileSync(changed, readFileSync(changed, 'utf8').replace('const lookMs = 5000', 'const lookMs = 4000'));
      const second = await checkout.build(0);
      assert.equal(second.code, 0, second.stderr);
      for (const [path, { inode, bytes }] of before) {
        const wasReplaced = statSync(path).ino !== inode;
        assert.ok(wasReplaced || readFileSync(path).equals(bytes), `${path} was rewritten in place`);
      }
      await assertRolesStart(checkout);
    }));
});
