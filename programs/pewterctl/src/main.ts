#!/usr/bin/env node
import meow from 'meow';
import { helpText } from './helpText.js';
import { runPewterctl } from './runPewterctl.js';

const cli = meow(helpText(), {
  importMeta: import.meta,
  flags: {
    controllers: { type: 'string' },
    json: { type: 'boolean', default: false },
    part: { type: 'boolean', default: false },
    acknowledge: { type: 'boolean', default: false },
    waitMs: { type: 'number', default: 20_000 },
  },
});

process.exitCode = await runPewterctl({
  input: cli.input,
  flags: cli.flags,
  controllers: cli.flags.controllers ?? process.env['PEWTERCTL_CONTROLLERS'] ?? '',
  out: (text) => console.log(text),
  err: (text) => console.error(text),
});
