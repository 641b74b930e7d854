import { replyAsLeader } from '@pewterlanding/consensus';
import { AuditArchive } from './auditArchive.js';
import { auditHash } from './auditHash.js';
import type { AuditSigner } from './auditSigner.js';
import { controllerCalls } from '../controllerCalls.js';
import { nextEntry } from './nextEntry.js';
import type { ConfigurationCommand } from '../configuration/configurationCommand.js';
import type { ConfigurationShard } from '../configuration/configurationShard.js';

/** Confirmations that an operator reads at once. */
const historyLines = 200;

interface AuditServiceOptions extends Omit<ConstructorParameters<typeof AuditArchive>[0], 'head'> {
  readonly machine: ConfigurationShard;
  readonly signer?: AuditSigner | undefined;
  /** Resolves once what this machine holds is surely the newest; only on the leader. */
  readonly confirmed: () => Promise<void>;
  readonly propose: (id: string, command: ConfigurationCommand) => Promise<unknown>;
}

/** Signs confirmed versions on the leader, and serves the trail and the history from this machine's audit file. */
export class AuditService {
  readonly archive: AuditArchive;
  readonly #options: AuditServiceOptions;

  constructor(options: AuditServiceOptions) {
    this.#options = options;
    this.archive = new AuditArchive({ ...options, head: () => options.machine.auditHead });
    this.#serve();
  }

  close(): void {
    this.archive.close();
  }

  /** Signs every version that has no entry yet. */
  async sign(): Promise<void> {
    const { signer, counters, machine, propose } = this.#options;
    for (let before = -1; before < machine.auditHead.entries;) {
      before = machine.auditHead.entries;
      const command = await nextEntry(signer, machine);
      if (command === undefined) return;
      await propose(`audit/${auditHash(command.entry)}`, command).catch(() => counters.add('controller.notSigned'));
    }
  }

  #serve(): void {
    const { transport, machine, confirmed } = this.#options;
    transport.serve(controllerCalls.audit, () =>
      replyAsLeader(async () => {
        await confirmed();
        // What was confirmed a moment ago is signed before the trail is shown.
        await this.sign();
        const { version, auditKeys, auditHead } = machine;
        const lines = await this.archive.newest(auditHead.entries);
        return { version, entries: lines.map((line) => line.entry), keys: [...auditKeys] };
      }),
    );
    transport.serve(controllerCalls.history, () =>
      replyAsLeader(async () => {
        await confirmed();
        const lines = await this.archive.newest(historyLines);
        const signed = lines.map((line) => line.confirmation);
        const through = signed.at(-1)?.version ?? 0;
        return [...signed, ...machine.history.filter((one) => one.version > through)];
      }),
    );
  }
}
