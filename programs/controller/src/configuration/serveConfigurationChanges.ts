import { replyAsLeader } from '@pewterlanding/consensus';
import type { Counters, Transport } from '@pewterlanding/runtime';
import { TransportError } from '@pewterlanding/runtime';
import { configurationCalls } from './configurationCalls.js';
import type { ConfigurationCommand } from './configurationCommand.js';
import type { ConfigurationShard } from './configurationShard.js';
import type { ConfigurationReturn } from './configurationReturn.js';

interface ConfigurationChangesOptions {
  readonly transport: Transport;
  readonly counters: Counters;
  readonly machine: ConfigurationShard;
  readonly wallMs: () => number;
  /** Resolves once this machine has confirmed that it leads, so that its state is the newest; rejects elsewhere. */
  readonly confirmed: () => Promise<void>;
  readonly propose: (id: string, command: ConfigurationCommand) => Promise<ConfigurationReturn>;
  /** Sends the configuration in force to every node. */
  readonly publish: () => void;
}

/** Serves changes in one call: acknowledged once durable at a majority and published; no front is waited for. */
export function serveConfigurationChanges(options: ConfigurationChangesOptions): void {
  const { transport, counters, machine, confirmed, propose, publish } = options;
  transport.serve(configurationCalls.set, ({ change }) =>
    replyAsLeader(async () => {
      await confirmed();
      // Only a change that would be accepted is logged, so that refused ones cost no disk.
      const { version } = machine;
      const judged = machine.judge(change);
      if (judged.next === undefined) {
        counters.add(`controller.change.${judged.outcome.outcome}`);
        publish();
        return judged.outcome;
      }
      // The id names the version that the change was judged on, so that one that lost a race may be proposed again on a later version.
      const id = `set/${version}/${change.revision}/${change.hash}`;
      const { change: outcome } = await propose(id, { kind: 'set', change, atMs: options.wallMs() });
      if (outcome === undefined) throw new TransportError('refused', 'no outcome');
      counters.add(`controller.change.${outcome.outcome}`);
      publish();
      return outcome;
    }),
  );
}
