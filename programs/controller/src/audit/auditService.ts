import { replyAsLeader } from '@pewterlanding/consensus';
import { AuditArchive } from './auditArchive.js';
import { auditHash } from './auditHash.js';
import type { AuditSigner } from './auditSigner.js';
import { auditCalls } from './auditCalls.js';
import { nextEntry } from './nextEntry.js';
import type { AuditCommand } from './auditCommand.js';
import type { AuditedState } from './auditedState.js';

/** How many confirmations one read of the history returns. */
const maxHistoryLines = 200;

interface AuditServiceOptions extends Omit<ConstructorParameters<typeof AuditArchive>[0], 'head'> {
  readonly machine: AuditedState;
  readonly signer?: AuditSigner | undefined;
  /** Resolves once this machine has confirmed that it leads, so that its state is the newest; rejects elsewhere. */
  readonly confirmed: () => Promise<void>;
  readonly propose: (id: string, command: AuditCommand) => Promise<unknown>;
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
    transport.serve(auditCalls.audit, () =>
      replyAsLeader(async () => {
        await confirmed();
        // What was confirmed a moment ago is signed before the trail is shown.
        await this.sign();
        const { version, auditKeys, auditHead } = machine;
        const lines = await this.archive.newest(auditHead.entries);
        return { version, entries: lines.map((line) => line.entry), keys: [...auditKeys] };
      }),
    );
    transport.serve(auditCalls.history, () =>
      replyAsLeader(async () => {
        await confirmed();
        const lines = await this.archive.newest(maxHistoryLines);
        const signed = lines.map((line) => line.confirmation);
        const through = signed.at(-1)?.version ?? 0;
        return [...signed, ...machine.history.filter((one) => one.version > through)];
      }),
    );
  }
}
