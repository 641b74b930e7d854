import meow from 'meow';
import { flags as knownFlags } from './flags.js';
import { helpText } from './helpText.js';

/** Names that commands had before; they stay callable. */
const renamedCommands: ReadonlyMap<string, string> = new Map([['guards', 'mutations']]);

/** Reads a command line, without judging whether the command exists. `notice` says which name replaced an old one. */
export function parseCommandLine(argv: readonly string[]) {
  const { input, flags } = meow(helpText(), { importMeta: import.meta, argv, flags: knownFlags });
  const [typed = '', argument] = input;
  const command = renamedCommands.get(typed) ?? typed;
  return {
    command,
    argument,
    flags,
    notice: command === typed ? undefined : `${typed} is an old name; the command is ${command}`,
    /** As typed, each without its dashes. */
    unknownFlags: Object.keys(flags)
      .filter((flag) => !Object.hasOwn(knownFlags, flag))
      .map(asTyped),
  };
}

/** The parser turns `--some-flag` into `someFlag`. */
function asTyped(flag: string): string {
  return flag.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}
