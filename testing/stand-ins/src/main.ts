#!/usr/bin/env node
import meow from 'meow';
import * as v from 'valibot';
import { Address, check } from '@pewterlanding/model';
import { StandInReplica } from './standInReplica.js';

const cli = meow(
  `
  Usage
    $ pewter-standins --service NAME --kind streamed|whole --address IP:PORT --fronts IP:PORT,...
      [--zone Z --slots 16 --run-ms 300 --pieces 6]

  A stand-in replica that announces itself to the fronts and returns something anybody can check.
`,
  {
    importMeta: import.meta,
    flags: {
      service: { type: 'string', isRequired: true },
      kind: { type: 'string', default: 'streamed' },
      address: { type: 'string', isRequired: true },
      fronts: { type: 'string', isRequired: true },
      zone: { type: 'string', default: 'a' },
      slots: { type: 'number', default: 16 },
      runMs: { type: 'number', default: 300 },
      pieces: { type: 'number', default: 6 },
    },
  },
);

const granted = check(
  v.object({ address: Address, fronts: v.pipe(v.array(Address), v.minLength(1)), kind: v.picklist(['streamed', 'whole']) }),
  {
    address: cli.flags.address,
    fronts: cli.flags.fronts.split(','),
    kind: cli.flags.kind,
  },
);
if (!granted.ok) {
  for (const finding of granted.findings) console.error(`standIns: ${finding.place}: ${finding.message}`);
  process.exit(2);
}
const { service, zone, slots, runMs, pieces } = cli.flags;
const replica = new StandInReplica({
  services: { [service]: { kind: granted.value.kind, runMs, pieces } },
  zone,
  slots,
  address: granted.value.address,
  fronts: granted.value.fronts,
  announceMs: 1000,
  random: Math.random,
  ran: () => undefined,
});
await replica.start();
console.log(`${service} at ${granted.value.address}`);
process.on('SIGTERM', () => void replica.leave().then(() => process.exit(0)));
process.on('SIGINT', () => void replica.leave().then(() => process.exit(0)));
