import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const require = createRequire(import.meta.url);
const slowSync = join(dirname(fileURLToPath(import.meta.url)), 'slowSync.js');

/** One real process of the fleet, started, stopped, frozen and killed by the harness. */
export class Daemon {
  readonly program: string;
  readonly name: string;
  /** While this file holds a number, the process's syncs take so many milliseconds longer. */
  readonly slowFile: string;
  readonly #args: readonly string[];
  readonly #logFile: string;
  #child: ChildProcess | undefined;
  #over: Promise<number> = Promise.resolve(0);

  constructor(program: string, name: string, args: readonly string[], logFile: string) {
    this.program = program;
    this.name = name;
    this.slowFile = `${logFile}.slow`;
    this.#args = args;
    this.#logFile = logFile;
  }

  start(): void {
    const main = join(dirname(require.resolve(`@pewterlanding/${this.program}`)), 'main.js');
    const keeps = this.program === 'controller' || this.program === 'store';
    const child = spawn(process.execPath, [...(keeps ? ['--import', slowSync] : []), main, ...this.#args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, SLOW_SYNC: this.slowFile },
    });
    const log = createWriteStream(this.#logFile, { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.#child = child;
    this.#over = new Promise((resolve) => child.once('exit', (code) => resolve(code ?? -1)));
  }

  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  /** Whether the system has the process standing still. */
  get stopped(): boolean {
    try {
      return /\) T /.test(readFileSync(`/proc/${this.#child?.pid ?? 0}/stat`, 'utf8'));
    } catch {
      return false;
    }
  }

  /** Whether the process was started and has not ended. */
  get isRunning(): boolean {
    return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Resolves with the exit code once the process has ended. */
  over(): Promise<number> {
    return this.#over;
  }

  async stop(hardMs = 8000): Promise<number> {
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const hard = setTimeout(() => this.signal('SIGKILL'), hardMs);
    const code = await this.#over;
    clearTimeout(hard);
    return code;
  }
}
