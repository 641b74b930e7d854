import { auditHash } from './auditHash.js';
import type { AuditSigner } from './auditSigner.js';
import type { AuditCommand } from './auditCommand.js';
import type { AuditedState } from './auditedState.js';

/** The signed entry of the next version that has none yet; undefined without a signer, or where every version has one. */
export async function nextEntry(
  signer: AuditSigner | undefined,
  { auditHead, history }: Pick<AuditedState, 'auditHead' | 'history'>,
): Promise<AuditCommand | undefined> {
  const next = history.find((one) => one.version === auditHead.entries + 1);
  if (signer === undefined || next === undefined) return undefined;
  const { version, plan, atMs } = next;
  const differences = auditHash(JSON.stringify(next.differences));
  const entry = await signer.sign({ version, plan, atMs, differences, previous: auditHead.hash });
  return { kind: 'audit', version, entry, key: { ...signer.publicKey } };
}
