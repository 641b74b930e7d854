import type { CommandReturn } from './commandReturn.js';
import { exitCode } from './exitCode.js';

/** What a command prints when its arguments are wrong. */
export function usageReturn(usage: string): CommandReturn {
  const text = `usage: pewterctl ${usage}`;
  return { code: exitCode.usage, text, json: { error: text } };
}
