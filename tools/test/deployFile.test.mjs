import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';
import { parse } from 'smol-toml';

const deploy = parse(readFileSync('deploy/system.toml', 'utf8'));
/** Debian's rule for the name of a package. */
const packageName = /^[a-z0-9][a-z0-9+.-]+$/;
/** Commands of the build line, by the system package that brings each. The shell is on every machine. */
const packageOf = new Map([
  ['npm', 'nodejs'],
  ['node', 'nodejs'],
]);

/** Commands that the script of the build line, and the modules beside it, start by name. */
function startedBy(build) {
  const [, script] = /^node (\S+)$/.exec(build) ?? assert.fail(`the build is no one script: ${build}`);
  const modules = readdirSync(script.replace(/\.mjs$/, '')).map((name) => join(script.replace(/\.mjs$/, ''), name));
  const text = [script, ...modules].map((file) => readFileSync(file, 'utf8')).join('\n');
  const started = [...text.matchAll(/\b(?:spawn|spawnSync|execFile|execFileSync)\(([^,]+),/g)].map(([, command]) => command);
  return started.map((command) => (command === 'process.execPath' ? 'node' : command.replaceAll("'", '')));
}

test('the deploy file lists the system packages of a build, each once, by names that Debian allows', () => {
  assert.ok(Array.isArray(deploy.packages));
  assert.ok(deploy.packages.length > 0);
  assert.deepEqual(deploy.packages, [...new Set(deploy.packages)].sort());
  for (const name of deploy.packages) assert.match(name, packageName);
});

test('every command of the build and of the roles comes with a listed package, and none is listed for nothing', () => {
  const lines = [...deploy.build.split(/;|\|\||&&/), ...Object.values(deploy.roles).map((role) => role.run)];
  const commands = lines.map((line) => line.trim().split(' ')[0]);
  commands.push(...startedBy(deploy.build));
  const needed = new Set(commands.map((command) => packageOf.get(command) ?? `nothing known brings ${command}`));
  assert.deepEqual([...needed].sort(), deploy.packages);
});

test('the build compiles nothing: no script of a dependency runs at the install', () => {
  const text = readFileSync('platform/build/dependencies.mjs', 'utf8');
  assert.match(text, /const installArguments = \['ci',[^\]]*'--ignore-scripts'\]/);
  assert.match(text, /spawnSync\('npm', \[\.\.\.installArguments,/);
  assert.equal(text.match(/'npm'/g).length, 1);
});

test('no role reads an addon: what is bundled names none', () => {
  const folder = mkdtempSync(join(tmpdir(), 'bundles-'));
  try {
    execFileSync(process.execPath, ['platform/bundle.mjs', folder], { stdio: 'inherit' });
    const bundles = readdirSync(folder).filter((name) => name.endsWith('.bundle.cjs'));
    assert.equal(bundles.length, Object.keys(deploy.roles).length);
    for (const name of bundles) assert.doesNotMatch(readFileSync(join(folder, name), 'utf8'), /cbor-extract/, name);
  } finally {
    rmSync(folder, { recursive: true });
  }
});
