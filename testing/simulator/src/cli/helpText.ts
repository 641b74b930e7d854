import { commandHelp } from './commandHelp.js';
import { flagHelp } from './flagHelp.js';

const commandWidth = 22;
const flagWidth = 17;

/** The help of pewtersim, made of the commands and flags that it knows. */
export function helpText(): string {
  const commands = Object.values(commandHelp).map(([usage, summary]) => `    $ pewtersim ${usage.padEnd(commandWidth)} ${summary}`);
  const flags = Object.values(flagHelp).map(([usage, summary]) => `    ${usage.padEnd(flagWidth)} ${summary}`);
  return `
  Usage
${commands.join('\n')}

  Options
${flags.join('\n')}

  Exit codes
    0 every rule was kept
    1 a rule was broken, a fault had no effect, a mutation was not detected, or a digest differs
    2 the command line is wrong, or the command failed
`;
}
