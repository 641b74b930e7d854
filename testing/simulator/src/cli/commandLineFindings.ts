import type { Finding } from '@pewterlanding/model';
import { faults } from '../faults/index.js';
import { fleetFaults } from '../fleet/index.js';
import { mutations } from '../mutation/index.js';
import { scenarios } from '../scenarios/index.js';
import { simDeployments } from '../simulation/index.js';
import { CommandName } from './commandName.js';
import { listOf } from './listOf.js';
import type { parseCommandLine } from './parseCommandLine.js';

type CommandLine = ReturnType<typeof parseCommandLine>;

const countFlags = ['seed', 'seeds', 'days', 'seconds', 'draw'] as const;

/** What is wrong with a command line; nothing where the command can run. */
export function commandLineFindings(line: CommandLine): readonly Finding[] {
  return [...commandFindings(line), ...argumentFindings(line), ...flagFindings(line)];
}

function commandFindings({ command }: CommandLine): readonly Finding[] {
  const known: readonly string[] = CommandName.options;
  if (known.includes(command)) return [];
  const problem = command === '' ? 'none is given' : `unknown command ${command}`;
  return [{ place: 'command', message: `${problem}; there are ${known.join(', ')}; see pewtersim --help` }];
}

function argumentFindings({ command, argument }: CommandLine): readonly Finding[] {
  if (['up', 'run', 'soak'].includes(command) && argument === undefined) return [{ place: 'FOLDER', message: 'is needed' }];
  if (command === 'scenario') return unknownNames('NAME', 'scenario', [argument ?? ''], Object.keys(scenarios));
  if (command === 'mutations') {
    const names = mutations.map((mutation) => mutation.name);
    return unknownNames('NAME', 'mutation', listOf(argument) ?? [], names);
  }
  return [];
}

function flagFindings({ command, flags, unknownFlags }: CommandLine): readonly Finding[] {
  const knownFaults = Object.keys(command === 'sim' ? faults : fleetFaults);
  const counts = countFlags.filter((flag) => !Number.isInteger(flags[flag]) || flags[flag] < 0);
  return [
    ...unknownFlags.map((flag) => ({ place: `--${flag}`, message: 'unknown flag; see pewtersim --help' })),
    ...unknownNames('--deployment', 'deployment', [flags.deployment], Object.keys(simDeployments)),
    ...unknownNames('--faults', 'fault', listOf(flags.faults) ?? [], knownFaults),
    ...counts.map((flag) => ({ place: `--${flag}`, message: 'must be a whole number from 0' })),
  ];
}

function unknownNames(place: string, kind: string, names: readonly string[], known: readonly string[]): readonly Finding[] {
  const unknown = names.filter((name) => !known.includes(name));
  return unknown.map((name) => ({ place, message: `no ${kind} ${name}; there are ${known.join(', ')}` }));
}
