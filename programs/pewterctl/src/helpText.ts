import type { Command } from './command.js';
import { commands } from './commands.js';

const minUsageWidth = 30;

/** What `pewterctl --help` prints. */
export function helpText(): string {
  const lines = Object.entries(commands).map(([name, command]) => `    ${usageOf(name, command).padEnd(minUsageWidth)}${command.help}`);
  return `
  Usage
    $ pewterctl COMMAND --controllers IP:PORT,...

  Commands
${lines.join('\n')}

  Options
    --controllers  where operators reach the controller machines (or PEWTERCTL_CONTROLLERS)
    --json         print what the controller answered, for scripts
    --wait-ms      how long to wait for each controller machine, in milliseconds (20000)

  Exit codes
    0 done  1 failed  2 usage  3 findings  4 conflict  5 needs --acknowledge  6 not yet in force  7 not found
`;
}

function usageOf(name: string, { usage }: Command): string {
  return usage === '' ? name : `${name} ${usage}`;
}
