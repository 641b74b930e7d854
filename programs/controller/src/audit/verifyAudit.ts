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
  const keys = new Map<string, JWK>();
  trusted.forEach((raw, position) => {
    const key = v.safeParse(Jwk, raw);
    if (key.success) keys.set(key.output.kid, key.output);
    else findings.push({ place: `keys.${position}`, message: 'is no public key' });
  });
  let previous = auditHash('');
  let version = 0;
  for (const [position, signed] of trail.entries.entries()) {
    const at = `entries.${position}`;
    const entry = await read(signed, keys);
    if (typeof entry === 'string') findings.push({ place: at, message: entry });
    else {
      if (entry.version !== version + 1) findings.push({ place: at, message: `is for version ${entry.version}, after ${version}` });
      if (entry.previous !== previous)
        findings.push({ place: at, message: 'does not name the entry before it: something was removed, added or moved' });
      version = entry.version;
    }
    previous = auditHash(signed);
  }
  if (version !== trail.version) findings.push({ place: 'entries', message: `end at version ${version}; ${trail.version} is in force` });
  return findings;
}

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
