import { PewterError } from '@pewterlanding/model';

const codes = {
  silent: 'PEWTER_TRANSPORT_TIMEOUT',
  lost: 'PEWTER_TRANSPORT_CONNECTION_LOST',
  refused: 'PEWTER_TRANSPORT_REFUSED',
  unreadable: 'PEWTER_TRANSPORT_UNREADABLE',
  unsent: 'PEWTER_TRANSPORT_UNSENT',
} as const;

/**
 * A request without a usable response. `silent`: none within the time limit; `lost`: the connection closed before it came;
 * `refused`: the remote handler failed; `unreadable`: a body did not match its schema, or the call is unknown; `unsent`: the request
 * never left this process. Only `unsent` rules out that the remote process acted on it.
 */
export class TransportError extends PewterError {
  readonly code: (typeof codes)[keyof typeof codes];
  readonly retriable: boolean;

  constructor(
    readonly reason: keyof typeof codes,
    message: string,
  ) {
    super(message);
    this.code = codes[reason];
    // A body that does not match its schema does not match it the next time either.
    this.retriable = reason !== 'unreadable';
  }
}
