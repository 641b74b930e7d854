import { PewterError } from '@pewterlanding/model';

/** An audit entry names a signing key that the verifier does not trust. */
export class UnknownKeyError extends PewterError {
  readonly code = 'PEWTER_UNKNOWN_AUDIT_KEY';
  readonly retriable = false;

  constructor(keyId: string) {
    super(`signed by an unknown key ${keyId}`);
  }
}
