import { compactVerify, importJWK } from 'jose';
import type { JWK } from 'jose';
import * as v from 'valibot';
import type { Finding } from '@pewterlanding/model';
import { AuditEntry } from './auditEntry.js';
import { auditHash } from './auditHash.js';
import type { AuditTrail } from './auditTrail.js';
import { UnknownKeyError } from './unknownKeyError.js';

const Jwk = v.looseObject({ kty: v.string(), kid: v.string(), crv: v.string(), x: v.string(), y: v.string() });

/**
 * Checks a trail: each entry signed by a known key, each naming the one before it, none missing up to the version in force.
 * `trusted` are public keys kept elsewhere; without them the trail's own are used, which detects changes but no trail forged whole.
 */
export async function verifyAudit(
  trail: AuditTrail,
  trusted: readonly Record<string, unknown>[] = trail.keys,
): Promise<readonly Finding[]> {
  const findings: Finding[] = [];
  const keys = readKeys(trusted, findings);
  let previous = auditHash('');
  let version = 0;
  for (const [position, signed] of trail.entries.entries()) {
    const place = `entries.${position}`;
    const entry = await read(signed, keys);
    if (typeof entry === 'string') findings.push({ place, message: entry });
    else {
      findings.push(...chainFindings(entry, { version, previous }, place));
      version = entry.version;
    }
    previous = auditHash(signed);
  }
  if (version !== trail.version) findings.push({ place: 'entries', message: `end at version ${version}; ${trail.version} is in force` });
  return findings;
}

/** The keys by their ids; what is no key becomes a finding. */
function readKeys(trusted: readonly Record<string, unknown>[], findings: Finding[]): ReadonlyMap<string, JWK> {
  const keys = new Map<string, JWK>();
  for (const [position, raw] of trusted.entries()) {
    const key = v.safeParse(Jwk, raw);
    if (key.success) keys.set(key.output.kid, key.output);
    else findings.push({ place: `keys.${position}`, message: 'is no public key' });
  }
  return keys;
}

/** Whether an entry follows on the one before it. */
function chainFindings(entry: AuditEntry, before: Pick<AuditEntry, 'version' | 'previous'>, place: string): readonly Finding[] {
  const findings: Finding[] = [];
  if (entry.version !== before.version + 1) findings.push({ place, message: `is for version ${entry.version}, after ${before.version}` });
  if (entry.previous !== before.previous)
    findings.push({ place, message: 'does not name the entry before it: something was removed, added or moved' });
  return findings;
}

/** The verified entry, or what is wrong with it. */
async function read(signed: string, keys: ReadonlyMap<string, JWK>): Promise<AuditEntry | string> {
  try {
    const verified = await compactVerify(signed, async (header) => {
      const key = keys.get(header.kid ?? '');
      if (key === undefined) throw new UnknownKeyError(header.kid ?? '');
      return importJWK(key, 'ES256');
    });
    return v.parse(AuditEntry, JSON.parse(new TextDecoder().decode(verified.payload)));
  } catch (error) {
    return error instanceof Error ? error.message : 'cannot be verified';
  }
}
