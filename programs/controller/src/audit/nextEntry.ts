import { auditHash } from './auditHash.js';
import type { AuditSigner } from './auditSigner.js';
import type { ConfigurationCommand } from '../configuration/configurationCommand.js';
import type { ConfigurationShard } from '../configuration/configurationShard.js';

/** The signed entry of the next version that has none yet. */
export async function nextEntry(
  signer: AuditSigner | undefined,
  { auditHead, history }: ConfigurationShard,
): Promise<Extract<ConfigurationCommand, { kind: 'audit' }> | undefined> {
  const next = history.find((one) => one.version === auditHead.entries + 1);
  if (signer === undefined || next === undefined) return undefined;
  const { version, plan, atMs } = next;
  const differences = auditHash(JSON.stringify(next.differences));
  const entry = await signer.sign({ version, plan, atMs, differences, previous: auditHead.hash });
  return { kind: 'audit', version, entry, key: { ...signer.publicKey } };
}
