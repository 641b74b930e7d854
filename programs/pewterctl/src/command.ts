import type { ControllerClient } from './controllerClient.js';
import type { CommandReturn } from './commandReturn.js';

interface CommandInput {
  readonly controller: ControllerClient;
  /** The arguments after the command's name. */
  readonly args: readonly string[];
  /** Whether a plan's file is a JSON merge patch and not a whole configuration. */
  readonly part: boolean;
  /** Whether effects that need an acknowledgement are acknowledged. */
  readonly acknowledge: boolean;
}

/** A command of pewterctl, with what the help says of it. */
export interface Command {
  /** Arguments and flags after the command's name, as the help shows them. */
  readonly usage: string;
  readonly help: string;
  /** Throws when no controller machine answers, or when a file that an argument names cannot be read. */
  readonly run: (input: CommandInput) => Promise<CommandReturn>;
}
