#!/usr/bin/env node
import meow from 'meow';
import { runProgram } from '@pewterlanding/runtime';
import { startStore } from './startStore.js';
import { statusHttp } from './service/index.js';

const cli = meow(
  `
  Usage
    $ store --boot FILE [--name N --zone Z --listen IP:PORT --http IP:PORT --seeds IP:PORT,... --data-folder DIR]

  A store node: keeps batch shards under its data folder. --http serves its status.
  Flags win over the boot file.
`,
  { importMeta: import.meta, flags: runProgram.flags },
);

await runProgram({ flags: cli.flags, needs: ['dataFolder'], start: (granted) => startStore({ ...granted, serve: statusHttp }) });
