#!/usr/bin/env node
import meow from 'meow';
import { runProgram } from '@pewterlanding/runtime';
import { startAgent } from './startAgent.js';

const cli = meow(
  `
  Usage
    $ agent --boot FILE [--name N --zone Z --listen IP:PORT --http IP:PORT --beside IP:PORT --seeds IP:PORT,...]

  The agent beside a proxy. --beside is the proxy's own address, --http where the proxy serves callers.
  Flags win over the boot file.
`,
  { importMeta: import.meta, flags: runProgram.flags },
);

await runProgram({ flags: cli.flags, needs: ['beside'], start: startAgent });
