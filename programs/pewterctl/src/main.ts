#!/usr/bin/env node
import meow from 'meow';
import * as v from 'valibot';
import { Address, check } from '@pewterlanding/model';
import { errorLine } from '@pewterlanding/runtime';
import { commands } from './commands.js';
import { exitCode } from './exitCode.js';
import { ControllerClient } from './controllerClient.js';

const cli = meow(
  `
  Usage
    $ pewterctl COMMAND --controllers IP:PORT,...

  Commands
    plan FILE [--part]          propose a whole setup, or a part of one as a JSON merge patch
    confirm PLAN [--acknowledge]
    showplan PLAN
    empty STORE                 propose to empty a store for retirement
    moves                       how far emptying has come
    audit [KEYS]                check the signed trail of confirmed setups, by keys kept elsewhere if given
    setup | history             the setup in force, and how it came to be
    nodes | parts | duties | branches | lots

  Options
    --controllers   where operators reach the controller machines (or PEWTERCTL_CONTROLLERS)
    --json     what the controller said, for scripts
    --wait-ms  patience with the controller (20000)

  Exit codes
    0 done  1 failed  2 usage  3 findings  4 conflict  5 needs --acknowledge  6 not yet in force  7 not found
`,
  {
    importMeta: import.meta,
    flags: {
      controllers: { type: 'string' },
      json: { type: 'boolean', default: false },
      part: { type: 'boolean', default: false },
      acknowledge: { type: 'boolean', default: false },
      waitMs: { type: 'number', default: 20_000 },
    },
  },
);

const [word, ...words] = cli.input;
const controllers = check(
  v.pipe(v.array(Address), v.minLength(1)),
  (cli.flags.controllers ?? process.env['PEWTERCTL_CONTROLLERS'] ?? '').split(',').filter((one) => one !== ''),
);
const command = word === undefined || !Object.hasOwn(commands, word) ? undefined : commands[word];
if (command === undefined || !controllers.ok) {
  console.error(
    command === undefined
      ? `will: ${word === undefined ? 'a command is needed' : `no command ${word}`}; see will --help`
      : 'will: --controllers must name IP:PORT of at least one controller machine',
  );
  process.exit(exitCode.usage);
}
try {
  const told = await command({
    controller: new ControllerClient(controllers.value, cli.flags.waitMs),
    words,
    part: cli.flags.part,
    acknowledge: cli.flags.acknowledge,
  });
  const out = cli.flags.json ? JSON.stringify(told.json) : told.text;
  if (told.code === exitCode.done || cli.flags.json) console.log(out);
  else console.error(out);
  process.exitCode = told.code;
} catch (error) {
  console.error(`will: ${errorLine(error)}`);
  process.exitCode = exitCode.failed;
}
