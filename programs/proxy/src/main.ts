#!/usr/bin/env node
import meow from 'meow';
import { addressParts } from '@pewterlanding/model';
import { runProgram } from '@pewterlanding/runtime';
import { proxyHttp } from './server/index.js';
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

/** Limit on the bodies of the product's own interface. */
const maxBodyBytes = 8 << 20;

await runProgram({
  flags: cli.flags,
  needs: ['http', 'beside'],
  start: (options) =>
    startProxy({
      ...options,
      serve: async ({ bootSettings, proxy, instance, counters }) => {
        let tasks = 0;
        const app = proxyHttp({
          proxy,
          counters,
          nextTask: () => `${bootSettings.name}-${instance}-${(tasks += 1)}`,
          maxBodyBytes,
        });
        const { host, port } = addressParts(options.http);
        await app.listen({ host, port });
        return async () => {
          await app.close();
        };
      },
    }),
});
