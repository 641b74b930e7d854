import { PewterError } from '@pewterlanding/model';

/** A response that does not echo the id of the request in flight on its connection. The request may have run. */
export class MisdirectedResponseError extends PewterError {
  readonly code = 'PEWTER_MISDIRECTED_RESPONSE';
  readonly retriable = false;

  constructor() {
    super('the response is for another request');
  }
}
