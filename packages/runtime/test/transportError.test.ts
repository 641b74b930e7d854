import { describe, it } from 'node:test';
import { expect } from 'earl';
import { PewterError } from '@pewterlanding/model';
import { TransportError } from '../src/index.js';

describe('TransportError', () => {
  it('has a code for each reason and says whether the same request may succeed later', () => {
    const reasons = ['silent', 'lost', 'refused', 'unreadable', 'unsent'] as const;
    const errors = reasons.map((reason) => new TransportError(reason, 'call: failed'));
    expect(errors.every((error) => error instanceof PewterError)).toEqual(true);
    expect(errors.map(({ name, message, reason, code, retriable }) => ({ name, message, reason, code, retriable }))).toEqual([
      { name: 'TransportError', message: 'call: failed', reason: 'silent', code: 'PEWTER_TRANSPORT_TIMEOUT', retriable: true },
      { name: 'TransportError', message: 'call: failed', reason: 'lost', code: 'PEWTER_TRANSPORT_CONNECTION_LOST', retriable: true },
      { name: 'TransportError', message: 'call: failed', reason: 'refused', code: 'PEWTER_TRANSPORT_REFUSED', retriable: true },
      { name: 'TransportError', message: 'call: failed', reason: 'unreadable', code: 'PEWTER_TRANSPORT_UNREADABLE', retriable: false },
      { name: 'TransportError', message: 'call: failed', reason: 'unsent', code: 'PEWTER_TRANSPORT_UNSENT', retriable: true },
    ]);
  });
});
