#!/usr/bin/env node
import { randomUUID } from 'node:crypto';
import meow from 'meow';
import { runProgram } from '@pewterlanding/runtime';
import { controllerHttp } from './operator-api/controllerHttp.js';
import { startController } from './startController.js';

const cli = meow(
  `
  Usage
    $ controller --boot FILE [--name N --zone Z --listen IP:PORT --http IP:PORT --seeds IP:PORT,... --data-folder DIR]

  A controller machine: a member of the configuration shard and the service shards, and a candidate for the dispatcher's role.
  --seeds are the controller machines themselves. Flags win over the boot file.
`,
  { importMeta: import.meta, flags: runProgram.flags },
);

await runProgram({
  flags: cli.flags,
  needs: ['http', 'dataFolder'],
  start: (granted) =>
    startController({
      ...granted,
      serve: (parts) =>
        controllerHttp({ ...parts, nextPlan: () => `plan_${randomUUID()}`, waitMs: parts.bootSettings.failureTimeoutMs * 15 }),
    }),
});
