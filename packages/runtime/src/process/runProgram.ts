import type { Address } from '@pewterlanding/model';
import { FindingsError } from '@pewterlanding/model';
import { errorLine } from '../logging/index.js';
import { readBootSettings } from '../settings/index.js';
import type { BootSettings } from '../settings/index.js';
import { endOnSignal } from './endOnSignal.js';
import type { Running } from './running.js';

/** What a program gets at its start. Addresses that the settings leave out are the one it listens at. */
interface StartOptions {
  readonly bootSettings: BootSettings;
  readonly http: Address;
  readonly beside: Address;
  /** The current folder where the settings name none. */
  readonly dataFolder: string;
}

interface Program {
  /** Flags as the command line's parser read them, by their names in camel case. */
  readonly flags: Readonly<Record<string, unknown>>;
  /** Optional boot settings that this program requires. */
  readonly needs: readonly ('http' | 'beside' | 'dataFolder')[];
  readonly start: (options: StartOptions) => Promise<Running>;
}

/** Flags of all programs, in the form that meow takes. */
const flags = {
  boot: { type: 'string' },
  fleet: { type: 'string' },
  name: { type: 'string' },
  zone: { type: 'string' },
  listen: { type: 'string' },
  advertise: { type: 'string' },
  http: { type: 'string' },
  beside: { type: 'string' },
  seeds: { type: 'string' },
  dataFolder: { type: 'string' },
  logLevel: { type: 'string' },
} as const;

const invalidExitCode = 2;

/**
 * Runs a program: reads its boot settings from file and flags, starts it, and shuts it down gracefully on SIGTERM or SIGINT. Where the
 * settings are invalid or the start fails, it prints the findings or the error and exits with code 2.
 */
export const runProgram = Object.assign(
  async (program: Program): Promise<void> => {
    try {
      const bootSettings = await readSettings(program);
      const starting = program.start({
        bootSettings,
        http: bootSettings.http ?? bootSettings.listen,
        beside: bootSettings.beside ?? bootSettings.listen,
        dataFolder: bootSettings.dataFolder ?? '.',
      });
      endOnSignal(starting, bootSettings.graceMs);
      await starting;
    } catch (error) {
      printError(error);
      process.exit(invalidExitCode);
    }
  },
  { flags },
);

function readSettings(program: Program): Promise<BootSettings> {
  const { boot: file, seeds, ...others } = program.flags;
  const overrides = { ...others, seeds: typeof seeds === 'string' ? seeds.split(',') : undefined };
  // A program may have flags of its own, which are no settings.
  const known = Object.fromEntries(Object.entries(overrides).filter(([key]) => key in flags));
  return readBootSettings(typeof file === 'string' ? file : undefined, known, program.needs);
}

function printError(error: unknown): void {
  if (!(error instanceof FindingsError)) {
    console.error(errorLine(error));
    return;
  }
  for (const finding of error.findings) console.error(`boot: ${finding.place}: ${finding.message}`);
}
