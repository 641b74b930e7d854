#!/usr/bin/env node
import meow from 'meow';
import { runProgram } from '@pewterlanding/runtime';
import { serveProxyHttp } from './server/index.js';
import { startProxy } from './startProxy.js';

const cli = meow(
  `
  Usage
    $ proxy --boot FILE [--name N --zone Z --listen IP:PORT --http IP:PORT --beside IP:PORT --seeds IP:PORT,...]

  The proxy of a front machine. --beside is the agent on the same machine.
  Flags win over the boot file.
`,
  { importMeta: import.meta, flags: runProgram.flags },
);

await runProgram({
  flags: cli.flags,
  needs: ['http', 'beside'],
  start: (options) => startProxy({ ...options, serve: serveProxyHttp(options.http) }),
});
