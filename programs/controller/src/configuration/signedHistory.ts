import type { AuditCommand } from '../audit/auditCommand.js';
import { AuditHead } from '../audit/auditHead.js';
import type { AuditLine } from '../audit/auditLine.js';
import type { ConfigurationState } from './configurationState.js';

/** Signed confirmations that the state itself holds; older ones are in each controller's audit file. */
const maxSignedConfirmations = 8;
/** Confirmations that wait for their signature; without a signer, the newest of them. */
const maxUnsignedConfirmations = 200;

/** Confirmations and their signed entries in the configuration shard's state. */
export const signedHistory = {
  /** Adds the signed entry of the next version. Returns its line of the trail; undefined where the entry is not the next one. */
  sign(state: ConfigurationState, { version, entry, key }: AuditCommand): AuditLine | undefined {
    const { audit, auditKeys, history } = state;
    const confirmation = history.find((one) => one.version === version);
    if (version !== audit.entries + 1 || confirmation === undefined) return undefined;
    const line = { confirmation, entry };
    state.audit = AuditHead.with(audit, line);
    if (!auditKeys.some((known) => known['kid'] === key['kid'])) state.auditKeys = [...auditKeys, key];
    signedHistory.trim(state);
    return line;
  },

  /** Drops the oldest signed confirmations, and bounds those that wait for their signature. */
  trim(state: ConfigurationState): void {
    const { history, audit } = state;
    const signed = history.filter((one) => one.version <= audit.entries).slice(-maxSignedConfirmations);
    const unsigned = history.filter((one) => one.version > audit.entries).slice(-maxUnsignedConfirmations);
    state.history = [...signed, ...unsigned];
  },
};
