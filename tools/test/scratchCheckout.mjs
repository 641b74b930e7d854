// A checkout of the project in a temporary folder, built by the line of the deploy file, with a stand-in for npm that installs slowly.
import { execFileSync, spawn } from 'node:child_process';
import { chmodSync, cpSync, existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { parse } from 'smol-toml';

/**
 * Like `npm ci`: removes node_modules, then fills it, the second half a while after the first. Links the packages of this checkout.
 * Notes its arguments, and that it has begun, in files beside itself.
 */
const npmStandIn = `#!/bin/sh
[ "$1" = ci ] || exit 64
echo "$@" >> "$(dirname "$0")/arguments"
rm -rf node_modules
mkdir node_modules || exit 1
cd node_modules || exit 1
for half in [@a-e]* [f-z]*; do
  for package in MODULES/$half; do
    [ -e "$package" ] || continue
    ln -s "$package" "$(basename "$package")" || exit 1
  done
  if [ "$half" = '[@a-e]*' ]; then
    touch "$(dirname "$0")/begun"
    sleep "\${INSTALL_PAUSE_S:-1}"
  fi
done
`;

const textOf = (stream) =>
  new Promise((read) => {
    let text = '';
    stream.on('data', (chunk) => (text += chunk));
    stream.on('end', () => read(text));
  });

export class ScratchCheckout {
  constructor() {
    this.folder = mkdtempSync(join(tmpdir(), 'checkout-'));
    this.root = join(this.folder, 'project');
    this.bin = join(this.folder, 'bin');
    const paths = execFileSync('git', ['ls-files', '-co', '--exclude-standard', '-z'], { encoding: 'utf8' }).split('\0');
    for (const path of paths.filter((one) => one !== '' && !one.startsWith('journal/') && existsSync(one))) {
      mkdirSync(dirname(join(this.root, path)), { recursive: true });
      cpSync(path, join(this.root, path));
    }
    mkdirSync(this.bin);
    // Nothing else is on the path of a build.
    symlinkSync(process.execPath, join(this.bin, 'node'));
    for (const command of ['sh', 'rm', 'mkdir', 'ln', 'sleep', 'touch', 'basename', 'dirname']) {
      symlinkSync(execFileSync('which', [command], { encoding: 'utf8' }).trim(), join(this.bin, command));
    }
    writeFileSync(join(this.bin, 'npm'), this.#npmText());
    chmodSync(join(this.bin, 'npm'), 0o755);
    this.deploy = parse(readFileSync('deploy/system.toml', 'utf8'));
  }

  /** Lines of arguments that npm was called with. */
  get npmCalls() {
    return readFileSync(join(this.bin, 'arguments'), 'utf8').trim().split('\n');
  }

  path(name) {
    return join(this.root, name);
  }

  /** Starts a build as a process group of its own. */
  startBuild(pauseS = 1) {
    const env = { PATH: this.bin, HOME: this.folder, INSTALL_PAUSE_S: String(pauseS) };
    return spawn('sh', ['-c', this.deploy.build], { cwd: this.root, env, detached: true });
  }

  /** Builds; resolves with the exit code and what was written to the standard error. */
  async build(pauseS) {
    const child = this.startBuild(pauseS);
    child.stdout.resume();
    const [stderr, code] = await Promise.all([textOf(child.stderr), new Promise((ended) => child.once('exit', ended))]);
    return { code, stderr };
  }

  /** Starts a build and kills all of its processes while npm installs. */
  async killBuildDuringInstall() {
    const child = this.startBuild(60);
    const ended = new Promise((resolveEnd) => child.once('exit', resolveEnd));
    while (!existsSync(join(this.bin, 'begun'))) await new Promise((next) => setImmediate(next));
    process.kill(-child.pid, 'SIGKILL');
    await ended;
  }

  /** Starts each role without settings; resolves with what each wrote to the standard error. A whole role says that it has none. */
  startRoles() {
    const runs = Object.entries(this.deploy.roles).map(async ([role, { run }]) => {
      const [, ...argv] = run.split(' ');
      const child = spawn(process.execPath, argv, { cwd: this.root, env: {} });
      return [role, await textOf(child.stderr)];
    });
    return Promise.all(runs);
  }

  remove() {
    rmSync(this.folder, { recursive: true, force: true });
  }

  #npmText() {
    return npmStandIn.replaceAll('MODULES', resolve('node_modules')).replaceAll('$(dirname "$0")', this.bin);
  }
}
