import type { Address } from '@pewterlanding/model';
import type { BootSettings } from '../settings/index.js';
import { endOnSignal } from './endOnSignal.js';
import { errorLine } from '../logging/index.js';
import { FindingsError } from '@pewterlanding/model';
import { readBootSettings } from '../settings/index.js';
import type { Running } from './running.js';

interface Program {
  readonly flags: Readonly<Record<string, unknown>>;
  readonly needs: readonly ('http' | 'beside' | 'dataFolder')[];
  readonly start: (granted: {
    readonly bootSettings: BootSettings;
    readonly http: Address;
    readonly beside: Address;
    readonly dataFolder: string;
  }) => Promise<Running>;
}

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

/** What all programs share: boot by file and flags, every finding at once, a polite end on SIGTERM. */
export const runProgram = Object.assign(
  async (program: Program): Promise<void> => {
    try {
      const { boot: file, seeds, ...granted } = program.flags;
      const overrides = { ...granted, seeds: typeof seeds === 'string' ? seeds.split(',') : undefined };
      const known = Object.fromEntries(Object.entries(overrides).filter(([key]) => key in flags));
      const bootSettings = await readBootSettings(typeof file === 'string' ? file : undefined, known, program.needs);
      const starting = program.start({
        bootSettings,
        http: bootSettings.http ?? bootSettings.listen,
        beside: bootSettings.beside ?? bootSettings.listen,
        dataFolder: bootSettings.dataFolder ?? '.',
      });
      endOnSignal(starting, bootSettings.graceMs);
      await starting;
    } catch (error) {
      if (error instanceof FindingsError) for (const finding of error.findings) console.error(`boot: ${finding.place}: ${finding.message}`);
      else console.error(errorLine(error));
      process.exit(2);
    }
  },
  { flags },
);
