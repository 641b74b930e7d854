import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { auditHash } from './auditHash.js';
import { AuditLine } from './auditLine.js';

/** Lines that the replicated state itself holds: as many as may be signed before a slow disk has synced one. */
const maxNewestLines = 8;

const Head = v.strictObject({ entries: Count, hash: v.string(), newest: v.array(AuditLine) });

/** The end of the audit trail, in the configuration shard's state: its length, the hash of its last entry, and its newest lines. */
export const AuditHead = {
  schema: Head,
  empty: (): AuditHead => ({ entries: 0, hash: auditHash(''), newest: [] }),
  with: (head: AuditHead, line: AuditLine): AuditHead => ({
    entries: head.entries + 1,
    hash: auditHash(line.entry),
    newest: [...head.newest, line].slice(-maxNewestLines),
  }),
};
export type AuditHead = v.InferOutput<typeof Head>;
