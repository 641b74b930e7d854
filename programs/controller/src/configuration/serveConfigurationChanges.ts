import { replyAsLeader } from '@pewterlanding/consensus';
import type { Counters, Transport } from '@pewterlanding/runtime';
import { TransportError } from '@pewterlanding/runtime';
import { controllerCalls } from '../controllerCalls.js';
import type { ConfigurationCommand } from './configurationCommand.js';
import type { ConfigurationShard } from './configurationShard.js';
import type { ConfigurationReturn } from './configurationReturn.js';

interface ConfigurationChangesOptions {
  readonly transport: Transport;
  readonly counters: Counters;
  readonly machine: ConfigurationShard;
  readonly wallMs: () => number;
  /** Resolves once what this machine holds is surely the newest; only on the leader. */
  readonly confirmed: () => Promise<void>;
  readonly propose: (id: string, command: ConfigurationCommand) => Promise<ConfigurationReturn>;
  /** Sends the setup in force on its way to all. */
  readonly publish: () => void;
}

/** Serves changes put in one call: acknowledged once durable at a majority and on their way; no front is waited for. */
export function serveConfigurationChanges(options: ConfigurationChangesOptions): void {
  const { transport, counters, machine, confirmed, propose, publish } = options;
  transport.serve(controllerCalls.set, ({ change }) =>
    replyAsLeader(async () => {
      await confirmed();
      // Only what would be taken is logged, so that what is refused costs no disk.
      const { version } = machine;
      const judged = machine.judge(change);
      if (judged.next === undefined) {
        counters.add(`controller.change.${judged.outcome.outcome}`);
        publish();
        return judged.outcome;
      }
      // Named after the version it was judged on: what lost a race may be judged anew on a later one.
      const id = `set/${version}/${change.revision}/${change.hash}`;
      const { change: outcome } = await propose(id, { kind: 'set', change, atMs: options.wallMs() });
      if (outcome === undefined) throw new TransportError('refused', 'no outcome');
      counters.add(`controller.change.${outcome.outcome}`);
      publish();
      return outcome;
    }),
  );
}
