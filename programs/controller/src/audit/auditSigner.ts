import { CompactSign, exportJWK, generateKeyPair, importJWK } from 'jose';
import type { JWK } from 'jose';
import * as v from 'valibot';
import { Journal } from '@pewterlanding/runtime';
import type { NodeName } from '@pewterlanding/model';
import type { Disk } from '@pewterlanding/runtime';
import type { AuditEntry } from './auditEntry.js';

const fileName = 'audit.key';
const algorithm = 'ES256';
const Jwk = v.looseObject({ kty: v.string(), kid: v.string(), crv: v.string(), x: v.string(), y: v.string(), d: v.string() });

/** Signs entries of the audit trail with this machine's key, which is generated at the first start and stored on its disk. */
export class AuditSigner {
  readonly #key: v.InferOutput<typeof Jwk>;

  private constructor(key: v.InferOutput<typeof Jwk>) {
    this.#key = key;
  }

  static async open(disk: Disk, name: NodeName): Promise<AuditSigner> {
    const journal = new Journal(disk, fileName);
    const known = v.safeParse(Jwk, (await journal.open()).records.at(-1));
    if (known.success) return new AuditSigner(known.output);
    const pair = await generateKeyPair(algorithm, { extractable: true });
    const jwk = await exportJWK(pair.privateKey);
    const key = v.parse(Jwk, { ...jwk, kid: `${name}/${jwk.x ?? ''}` });
    await journal.rewrite([key]);
    return new AuditSigner(key);
  }

  /** The public key as a JWK. */
  get publicKey(): JWK {
    const { kty, kid, crv, x, y } = this.#key;
    return { kty, kid, crv, x, y, alg: algorithm, use: 'sig' };
  }

  async sign(entry: AuditEntry): Promise<string> {
    const key = await importJWK(this.#key, algorithm);
    return new CompactSign(new TextEncoder().encode(JSON.stringify(entry)))
      .setProtectedHeader({ alg: algorithm, kid: this.#key.kid })
      .sign(key);
  }
}
