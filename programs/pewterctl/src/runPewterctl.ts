import * as v from 'valibot';
import { Address, check } from '@pewterlanding/model';
import { errorLine } from '@pewterlanding/runtime';
import type { Command } from './command.js';
import type { CommandReturn } from './commandReturn.js';
import { commands } from './commands.js';
import { ControllerClient } from './controllerClient.js';
import { exitCode } from './exitCode.js';
import { nearestName } from './nearestName.js';
import { renamedCommands } from './renamedCommands.js';

interface PewterctlOptions {
  /** The command's name and its arguments. */
  readonly input: readonly string[];
  /** As they were read from the command line, by their names in camel case; also those that nobody knows. */
  readonly flags: Readonly<Record<string, unknown>>;
  /** Addresses of the controller machines, separated by commas. */
  readonly controllers: string;
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
}

const knownFlags = ['controllers', 'json', 'part', 'acknowledge', 'waitMs', 'help', 'version'];
const Addresses = v.pipe(v.array(Address), v.minLength(1));
const Flags = v.object({ json: v.boolean(), part: v.boolean(), acknowledge: v.boolean(), waitMs: v.number() });

/** Runs one command line and returns its exit code. */
export async function runPewterctl(options: PewterctlOptions): Promise<number> {
  const { input, err } = options;
  const flag = Object.keys(options.flags).find((name) => !knownFlags.includes(name));
  if (flag !== undefined) return usageError(options, unknownText('flag', optionOf(flag), knownFlags.map(optionOf)));
  const [name, ...args] = input;
  if (name === undefined) return usageError(options, 'a command is needed');
  const present = Object.hasOwn(renamedCommands, name) ? renamedCommands[name] : undefined;
  if (present !== undefined) err(`pewterctl: "${name}" is the old name of "${present}", and ends with the next version`);
  const command = commandOf(present ?? name);
  if (command === undefined) return usageError(options, unknownText('command', name, Object.keys(commands)));
  const controllers = check(
    Addresses,
    options.controllers.split(',').filter((address) => address !== ''),
  );
  if (!controllers.ok) return usageError(options, '--controllers must name IP:PORT of at least one controller machine');
  return run(options, command, args, controllers.value);
}

async function run(options: PewterctlOptions, command: Command, args: readonly string[], controllers: readonly Address[]): Promise<number> {
  const flags = check(Flags, options.flags);
  if (!flags.ok) return usageError(options, flags.findings.map(({ place, message }) => `${optionOf(place)} ${message}`).join('; '));
  const { json, part, acknowledge, waitMs } = flags.value;
  try {
    const controller = new ControllerClient(controllers, waitMs);
    const result = await command.run({ controller, args, part, acknowledge });
    print(options, result, json);
    return result.code;
  } catch (error) {
    options.err(`pewterctl: ${errorLine(error)}`);
    return exitCode.failed;
  }
}

function print({ out, err }: PewterctlOptions, result: CommandReturn, json: boolean): void {
  if (json) out(JSON.stringify(result.json));
  else if (result.code === exitCode.done) out(result.text);
  else err(result.text);
}

function commandOf(name: string): Command | undefined {
  return Object.hasOwn(commands, name) ? commands[name] : undefined;
}

function usageError({ err }: PewterctlOptions, text: string): number {
  err(`pewterctl: ${text}; see pewterctl --help`);
  return exitCode.usage;
}

function unknownText(kind: string, name: string, known: readonly string[]): string {
  const nearest = nearestName(name, known);
  return nearest === undefined ? `no ${kind} ${name}` : `no ${kind} ${name}; did you mean ${nearest}?`;
}

/** A flag as it is written on the command line. */
function optionOf(flag: string): string {
  if (flag.length === 1) return `-${flag}`;
  return `--${flag.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}
